package gateway

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strconv"
)

// idGenerator draws the ids of traces and spans, and forms request ids. A request
// id is a random prefix of the instance and the number of the request.
type idGenerator struct {
	random *rand.Rand
	prefix uint32
}

// idStream keeps the gateway's random numbers apart from those that other packages
// draw from the same seed.
const idStream = 0x6d616464

func newIDGenerator(seed uint64) idGenerator {
	random := rand.New(rand.NewPCG(seed, idStream))
	return idGenerator{random: random, prefix: random.Uint32()}
}

// fill sets the first 8 bytes of a trace or span id; they are never all zero, which
// W3C Trace Context forbids.
func (g *idGenerator) fill(id []byte) {
	binary.LittleEndian.PutUint64(id, g.random.Uint64()|1)
}

// requestID returns the id under which clients and nodes see a request, and "" for a
// request that was not submitted to the scheduler (id 0).
func (g *idGenerator) requestID(id uint64) string {
	if id == 0 {
		return ""
	}
	return fmt.Sprintf("%08x-%x", g.prefix, id)
}

// appendRequestID appends what requestID returns, without allocating.
func (g *idGenerator) appendRequestID(b []byte, id uint64) []byte {
	for shift := 28; shift >= 0; shift -= 4 {
		b = append(b, "0123456789abcdef"[g.prefix>>shift&15])
	}
	return strconv.AppendUint(append(b, '-'), id, 16)
}
