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
	ofVolumes   bool
	parent      *request // nil when its client left
	parts       []*request
	bodies      [][]byte
	bytes       int
	pending     int
	rejected    int
	errorStatus int // status of a part that is neither a listing nor refused
	reason      string
	retryAfter  time.Duration
}

// beginListing starts it when the request's body is whole.
func (g *Gateway) beginListing(req *request) {
	l, depth := req.listing, string(req.header.Get("depth"))
	l.parent = req
	if l.ofVolumes {
		find, err := webdav.ParsePropfind(req.body.data)
		if err != nil {
			g.respondLocally(req, 400, err.Error())
			return
		}
		var names []string
		for _, v := range g.config.Volumes {
			names = append(names, v.Name)
		}
		req.response.reason = "list of volumes"
		g.counts.Local++
		g.writeLocalResponse(req, 207, webdav.ListVolumes(find, names, depth), nil)
		return
	}
	g.admission.RequestAccepted(g.clock.now, uint64(req.client.id))
	req.volume = &g.config.Volumes[req.location.Volume]
	shards := req.volume.Shards
	if depth == "0" {
		shards = shards[:1] // each has the volume's root
	}
	l.bodies = make([][]byte, len(shards))
	l.pending = len(shards)
	for i, shard := range shards {
		p := g.requests.create()
		p.method, p.location, p.listing, p.listingPart = req.method, req.location, l, i
		p.location.Shard, p.volume = shard, req.volume
		p.rawHeader = append(g.buffers.get(), req.rawHeader...)
		http1.ParseRequest(p.rawHeader, &p.header, g.config.HeaderLimits) // parsed well before
		p.body.data = append(g.buffers.get(), req.body.data...)
		p.body.complete, p.body.continueHandled, p.body.received = true, true, int64(len(p.body.data))
		p.trace.id, p.trace.parent, p.trace.sampled = req.trace.id, req.trace.span, req.trace.sampled
		g.ids.fill(p.trace.span[:])
		p.classification = g.routes.Classify(route.RequestHeader{Method: p.method, Location: p.location, ContentLength: p.body.received, Prefer: string(p.header.Get("prefer"))})
		l.parts = append(l.parts, p)
		g.submit(p)
	}
}

// receivePartData keeps a piece of a part's answer; false where it is too much.
func (g *Gateway) receivePartData(p *request, data []byte) bool {
	l := p.listing
	if l.bytes += len(data); l.bytes > g.config.Limits.ListingBytes {
		l.errorStatus, l.reason = 507, webdav.ErrListingTooLarge.Error()
		return false
	}
	l.bodies[p.listingPart] = append(l.bodies[p.listingPart], data...)
	if l.parent != nil && l.parent.client != nil {
		g.accountClientBytes(l.parent.client)
	}
	return true
}

// endPart counts a part's final answer; the last one makes the listing.
func (g *Gateway) endPart(p *request) {
	l := p.listing
	if p.listingPart < len(l.parts) {
		l.parts[p.listingPart] = nil
	}
	switch {
	case p.response.status == 207:
	case p.response.status == 503 && p.response.source == nil:
		l.rejected++
	case l.errorStatus == 0:
		l.errorStatus, l.reason = p.response.status, "a storage node gave "+http1.StatusText(p.response.status)+" for its part of the listing"
		if p.response.source == nil {
			l.reason = "a part of the listing failed: " + p.response.reason
		}
	}
	if l.pending--; l.pending > 0 || l.parent == nil {
		return
	}
	req := l.parent
	switch {
	case l.errorStatus != 0:
		g.respondLocally(req, l.errorStatus, l.reason)
	case l.rejected > 0:
		req.response.reason = "a part of the listing was refused; trying again does no harm"
		g.counts.Local++
		g.writeLocalResponse(req, 503, []byte(req.response.reason+"\n"), func(b []byte) []byte { return appendRetryAfter(b, l.retryAfter) })
	default:
		body, err := webdav.MergeMultistatus(l.bodies, g.config.Limits.ListingBytes)
		switch {
		case errors.Is(err, webdav.ErrListingTooLarge):
			g.respondLocally(req, 507, err.Error())
		case err != nil:
			g.respondLocally(req, 502, err.Error())
		default:
			req.response.reason = "merged listing"
			g.counts.Local++
			g.writeLocalResponse(req, 207, bytes.TrimSpace(body), nil)
		}
	}
}
