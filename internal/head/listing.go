package head

import (
	"bytes"
	"errors"
	"time"

	"maddergap/internal/dav"
	"maddergap/internal/http1"
	"maddergap/internal/route"
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
func (h *Head) list(ex *exchange) {
	l, depth := ex.listing, string(ex.req.Get("depth"))
	l.parent = ex
	if l.volumes {
		find, err := dav.ParsePropfind(ex.held)
		if err != nil {
			h.own(ex, 400, err.Error())
			return
		}
		var names []string
		for _, v := range h.c.Volumes {
			names = append(names, v.Name)
		}
		ex.reason = "list of volumes"
		h.counts.Own++
		h.respond(ex, 207, dav.ListVolumes(find, names, depth), nil)
		return
	}
	h.adm.Taken(h.now, uint64(ex.client.id))
	ex.vol = &h.c.Volumes[ex.place.Volume]
	shards := ex.vol.Shards
	if depth == "0" {
		shards = shards[:1] // each has the volume's root
	}
	l.bodies = make([][]byte, len(shards))
	l.waiting = len(shards)
	for i, shard := range shards {
		p := h.newExchange()
		p.method, p.place, p.listing, p.part = ex.method, ex.place, l, i
		p.place.Shard, p.vol = shard, ex.vol
		p.hdr = append(h.buffer(), ex.hdr...)
		http1.ParseRequest(p.hdr, &p.req, h.c.Header) // parsed well before
		p.held = append(h.buffer(), ex.held...)
		p.whole, p.invited, p.got = true, true, int64(len(p.held))
		p.trace, p.parent, p.sampled = ex.trace, ex.span, ex.sampled
		h.randomID(p.span[:])
		p.job = h.t.Job(route.Ask{Method: p.method, Place: p.place, Length: p.got, Prefer: string(p.req.Get("prefer"))})
		l.parts = append(l.parts, p)
		h.take(p)
	}
}

// partData keeps a piece of a part's answer; false where it is too much.
func (h *Head) partData(p *exchange, data []byte) bool {
	l := p.listing
	if l.size += len(data); l.size > h.c.ListingMax {
		l.bad, l.reason = 507, dav.ErrTooLarge.Error()
		return false
	}
	l.bodies[p.part] = append(l.bodies[p.part], data...)
	if l.parent != nil && l.parent.client != nil {
		h.weigh(l.parent.client)
	}
	return true
}

// partDone counts a part's final answer; the last one makes the listing.
func (h *Head) partDone(p *exchange) {
	l := p.listing
	if p.part < len(l.parts) {
		l.parts[p.part] = nil
	}
	switch {
	case p.status == 207:
	case p.status == 503 && p.answer == nil:
		l.refused++
	case l.bad == 0:
		l.bad, l.reason = p.status, "a storage node gave "+http1.Text(p.status)+" for its part of the listing"
		if p.answer == nil {
			l.reason = "a part of the listing failed: " + p.reason
		}
	}
	if l.waiting--; l.waiting > 0 || l.parent == nil {
		return
	}
	ex := l.parent
	switch {
	case l.bad != 0:
		h.own(ex, l.bad, l.reason)
	case l.refused > 0:
		ex.reason = "a part of the listing was refused; trying again does no harm"
		h.counts.Own++
		h.respond(ex, 503, []byte(ex.reason+"\n"), func(b []byte) []byte { return appendRetryAfter(b, l.after) })
	default:
		body, err := dav.Merge(l.bodies, h.c.ListingMax)
		switch {
		case errors.Is(err, dav.ErrTooLarge):
			h.own(ex, 507, err.Error())
		case err != nil:
			h.own(ex, 502, err.Error())
		default:
			ex.reason = "merged listing"
			h.counts.Own++
			h.respond(ex, 207, bytes.TrimSpace(body), nil)
		}
	}
}
