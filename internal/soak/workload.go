package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// unlimitedFraction of the requests are for the volume without a limit.
	unlimitedFraction = 0.8
	// clientKeys is how many order keys the requests of a client have.
	clientKeys = 64
	// orderedKeys is how many of them ordered requests have: few, so that requests of a key meet.
	orderedKeys = 3
)

// request is a request of a client.
type request struct {
	id      string // the trace ID
	class   int    // an index of deployment.classes
	volume  volume
	shard   int
	key     uint64        // order key
	timeout time.Duration // how long the client waits
}

// drawRequest draws a request.
func (d *deployment) drawRequest(r *rand.Rand, id string) request {
	req := request{
		id:     id,
		class:  r.IntN(len(d.classes)),
		volume: unlimitedVolume,
		shard:  r.IntN(d.shards),
		key:    r.Uint64N(clientKeys),
	}
	if r.Float64() >= unlimitedFraction {
		req.volume = limitedVolume
	}
	class := &d.classes[req.class]
	if class.ordered {
		req.key = r.Uint64N(orderedKeys)
	}
	req.timeout = class.deadline/2 + time.Duration(r.Int64N(int64(class.deadline/2)))
	return req
}

// formatRequest returns a request as it is sent.
func (d *deployment) formatRequest(req request) string {
	class := &d.classes[req.class]
	method, body := "GET", ""
	if class.write {
		method, body = "PUT", "payload of "+req.id
	}
	header := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: b\r\nX-Txn: %s\r\nX-Lane: %s\r\nTier: %s\r\nPiece: %016x\r\nX-Remaining: %dm\r\n",
		method, req.id, class.name, planNames[req.volume.plan], req.key, req.timeout.Milliseconds())
	ioInfo := fmt.Sprintf("IO-Info: volume=%s,units=1,shard=%d,hosts=%d\r\n", req.volume.name, req.shard, d.instances)
	return header + ioInfo + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}
