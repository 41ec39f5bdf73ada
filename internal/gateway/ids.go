package gateway

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strconv"
)

// idGenerator generates trace and span ids, and formats request ids. A request id consists of
// a prefix, which is random for each instance, and the number of the request.
type idGenerator struct {
	random *rand.Rand
	prefix uint32
}

// idStream is the gateway's second seed value for PCG. It makes the gateway's random numbers
// differ from those that other packages derive from the same seed.
const idStream = 0x6d616464

func newIDGenerator(seed uint64) idGenerator {
	random := rand.New(rand.NewPCG(seed, idStream))
	return idGenerator{random: random, prefix: random.Uint32()}
}

// fillRandom sets the first 8 bytes of a trace or span id to a random value other than zero,
// because W3C Trace Context forbids ids that consist of zeros.
func (g *idGenerator) fillRandom(id []byte) {
	binary.LittleEndian.PutUint64(id, g.random.Uint64()|1)
}

// requestID returns the id of a request that clients and nodes see. It returns "" for a
// request that was not submitted to the scheduler (id 0).
func (g *idGenerator) requestID(id uint64) string {
	if id == 0 {
		return ""
	}
	return fmt.Sprintf("%08x-%x", g.prefix, id)
}

// appendRequestID appends the same text that requestID returns for an id other than 0, without
// allocating a string.
func (g *idGenerator) appendRequestID(b []byte, id uint64) []byte {
	for shift := 28; shift >= 0; shift -= 4 {
		b = append(b, "0123456789abcdef"[g.prefix>>shift&15])
	}
	return strconv.AppendUint(append(b, '-'), id, 16)
}
