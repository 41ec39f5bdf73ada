package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// unlimitedFraction is the fraction of requests for the volume whose plan has no limit.
	unlimitedFraction = 0.8
	// orderKeyCount is the number of order keys that requests of unordered classes carry.
	orderKeyCount = 64
	// orderedClassKeyCount is the same number for ordered classes. It is small, so that several
	// requests with the same key are often in progress at an instance.
	orderedClassKeyCount = 3
)

// request holds the properties of a request that a client sends.
type request struct {
	id      string // request ID, the TraceID of its audit record
	class   int    // index into deployment.classes
	volume  volume
	shard   int
	key     uint64        // order key
	timeout time.Duration // time that the request gives the gateway to respond
}

// drawRequest draws a request and gives it an ID. Its timeout is at least half of the deadline of its
// class and below the deadline.
func (d *deployment) drawRequest(r *rand.Rand, id string) request {
	req := request{
		id:     id,
		class:  r.IntN(len(d.classes)),
		volume: unlimitedVolume,
		shard:  r.IntN(d.shards),
		key:    r.Uint64N(orderKeyCount),
	}
	if r.Float64() >= unlimitedFraction {
		req.volume = limitedVolume
	}
	class := &d.classes[req.class]
	if class.ordered {
		req.key = r.Uint64N(orderedClassKeyCount)
	}
	req.timeout = class.deadline/2 + time.Duration(r.Int64N(int64(class.deadline/2)))
	return req
}

// formatRequest returns a request as it is sent to the gateway, with its header and body.
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
