package gateway

import (
	"bytes"
	"errors"
	"time"

	"maddergap/internal/http1"
	"maddergap/internal/route"
	"maddergap/internal/webdav"
)

// listing is a PROPFIND that the head answers itself: of the volumes, or of a
// volume's root, for which every shard is asked. Each part is a request of its
// own to the module, with its own final answer.
type listing struct {
	volumes bool
	parent  *exchange // nil when its client left
	parts   []*exchange
	bodies  [][]byte
	size    int
	waiting int
	refused int
	bad     int // status of a part that is neither a listing nor refused
	reason  string
	after   time.Duration
}

// list starts it when the request's body is whole.
func (h *Gateway) list(ex *exchange) {
	l, depth := ex.listing, string(ex.req.Get("depth"))
	l.parent = ex
	if l.volumes {
		find, err := webdav.ParsePropfind(ex.body.held)
		if err != nil {
			h.answerOwn(ex, 400, err.Error())
			return
		}
		var names []string
		for _, v := range h.config.Volumes {
			names = append(names, v.Name)
		}
		ex.answer.reason = "list of volumes"
		h.counts.Local++
		h.respond(ex, 207, webdav.ListVolumes(find, names, depth), nil)
		return
	}
	h.admission.RequestAccepted(h.clock.now, uint64(ex.client.id))
	ex.volume = &h.config.Volumes[ex.place.Volume]
	shards := ex.volume.Shards
	if depth == "0" {
		shards = shards[:1] // each has the volume's root
	}
	l.bodies = make([][]byte, len(shards))
	l.waiting = len(shards)
	for i, shard := range shards {
		p := h.requests.create()
		p.method, p.place, p.listing, p.part = ex.method, ex.place, l, i
		p.place.Shard, p.volume = shard, ex.volume
		p.headerBytes = append(h.buffers.get(), ex.headerBytes...)
		http1.ParseRequest(p.headerBytes, &p.req, h.config.HeaderLimits) // parsed well before
		p.body.held = append(h.buffers.get(), ex.body.held...)
		p.body.whole, p.body.invited, p.body.received = true, true, int64(len(p.body.held))
		p.trace.id, p.trace.parent, p.trace.sampled = ex.trace.id, ex.trace.span, ex.trace.sampled
		h.ids.fill(p.trace.span[:])
		p.job = h.routes.Classify(route.RequestHeader{Method: p.method, Location: p.place, Length: p.body.received, Prefer: string(p.req.Get("prefer"))})
		l.parts = append(l.parts, p)
		h.take(p)
	}
}

// partData keeps a piece of a part's answer; false where it is too much.
func (h *Gateway) partData(p *exchange, data []byte) bool {
	l := p.listing
	if l.size += len(data); l.size > h.config.Limits.ListingBytes {
		l.bad, l.reason = 507, webdav.ErrTooLarge.Error()
		return false
	}
	l.bodies[p.part] = append(l.bodies[p.part], data...)
	if l.parent != nil && l.parent.client != nil {
		h.weigh(l.parent.client)
	}
	return true
}

// partDone counts a part's final answer; the last one makes the listing.
func (h *Gateway) partDone(p *exchange) {
	l := p.listing
	if p.part < len(l.parts) {
		l.parts[p.part] = nil
	}
	switch {
	case p.answer.status == 207:
	case p.answer.status == 503 && p.answer.from == nil:
		l.refused++
	case l.bad == 0:
		l.bad, l.reason = p.answer.status, "a storage node gave "+http1.Text(p.answer.status)+" for its part of the listing"
		if p.answer.from == nil {
			l.reason = "a part of the listing failed: " + p.answer.reason
		}
	}
	if l.waiting--; l.waiting > 0 || l.parent == nil {
		return
	}
	ex := l.parent
	switch {
	case l.bad != 0:
		h.answerOwn(ex, l.bad, l.reason)
	case l.refused > 0:
		ex.answer.reason = "a part of the listing was refused; trying again does no harm"
		h.counts.Local++
		h.respond(ex, 503, []byte(ex.answer.reason+"\n"), func(b []byte) []byte { return appendRetryAfter(b, l.after) })
	default:
		body, err := webdav.Merge(l.bodies, h.config.Limits.ListingBytes)
		switch {
		case errors.Is(err, webdav.ErrTooLarge):
			h.answerOwn(ex, 507, err.Error())
		case err != nil:
			h.answerOwn(ex, 502, err.Error())
		default:
			ex.answer.reason = "merged listing"
			h.counts.Local++
			h.respond(ex, 207, bytes.TrimSpace(body), nil)
		}
	}
}
