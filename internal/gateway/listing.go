package gateway

import (
	"bytes"
	"errors"
	"time"

	"maddergap/internal/http1"
	"maddergap/internal/route"
	"maddergap/internal/webdav"
)

// Texts of the gateway's own responses to a PROPFIND.
const (
	reasonListingBodyTooLong = "the body of a PROPFIND is longer than can be held"
	reasonListingRejected    = "a part of the listing was refused; trying again does no harm"
)

// listing is a PROPFIND request that the gateway answers itself. It lists either the volumes,
// or the root of one volume. In the second case each shard contributes a part. The parts are
// submitted to the scheduler as separate requests, each with its own final response. The
// client's request, which is their parent, is never submitted.
type listing struct {
	isVolumeList bool       // true: a list of the volumes, without parts
	parent       *request   // the client's request; nil: it has its response, or was cancelled
	parts        []*request // nil element: the part has its final response
	bodies       [][]byte   // response bodies of the parts, in the order of parts
	bytes        int        // total length of bodies
	pending      int        // number of parts without a final response

	rejected   int           // number of parts that were rejected
	retryAfter time.Duration // longest retry-after time of the parts that were rejected
	// errorStatus is the status of the first part that failed in another way, or 507 if the
	// listing is too long; 0: no failure.
	errorStatus int
	errorReason string // response text for errorStatus
}

// receiveListingBody buffers a piece of the body of a PROPFIND.
func (g *Gateway) receiveListingBody(req *request, data []byte) {
	if len(req.body.data)+len(data) > req.config.Limits.BodyBuffer {
		g.respondLocally(req, 413, reasonListingBodyTooLong)
		return
	}
	g.appendToBody(req, data)
	if req.body.complete {
		g.beginListing(req)
	}
}

// beginListing begins a listing when the body of its request is complete.
func (g *Gateway) beginListing(req *request) {
	depth := string(req.header.Get("depth"))
	req.listing.parent = req
	if req.listing.isVolumeList {
		g.listVolumes(req, depth)
		return
	}
	g.admission.RequestAccepted(g.clock.now, uint64(req.client.id))
	req.volume = &req.config.Volumes[req.location.Volume]
	shards := req.volume.Shards
	if depth == "0" {
		shards = shards[:1] // every shard holds the root of the volume
	}
	req.listing.bodies = make([][]byte, len(shards))
	req.listing.pending = len(shards)
	for i, shard := range shards {
		part := g.newListingPart(req, i, shard)
		req.listing.parts = append(req.listing.parts, part)
		g.submit(part)
	}
}

// listVolumes answers a PROPFIND of the root from the configuration, without a node.
func (g *Gateway) listVolumes(req *request, depth string) {
	propfind, err := webdav.ParsePropfind(req.body.data)
	if err != nil {
		g.respondLocally(req, 400, err.Error())
		return
	}
	var names []string
	for _, v := range req.config.Volumes {
		names = append(names, v.Name)
	}
	req.response.reason = "list of volumes"
	g.counts.Local++
	g.writeLocalResponse(req, 207, webdav.ListVolumes(propfind, names, depth), nil)
}

// newListingPart returns the request to one shard of a listing, which is a copy of its parent.
func (g *Gateway) newListingPart(parent *request, index, shard int) *request {
	part := g.requests.create(parent.config, parent.routes)
	part.method = parent.method
	part.location = parent.location
	part.volume = parent.volume
	part.location.Shard = shard
	part.listing = parent.listing
	part.listingPart = index
	g.buffers.set(&part.rawHeader, append(g.buffers.get(len(parent.rawHeader)), parent.rawHeader...))
	// ParseRequest cannot fail, as the parent's header was valid by the same limits.
	http1.ParseRequest(part.rawHeader, &part.header, part.config.HeaderLimits)
	g.buffers.countFields(&part.fieldBytes, part.header.Fields)
	g.appendToBody(part, parent.body.data)
	part.body.received = int64(len(part.body.data))
	part.body.complete = true
	part.body.continueHandled = true
	part.trace.id = parent.trace.id
	part.trace.parent = parent.trace.span
	part.trace.sampled = parent.trace.sampled
	g.ids.fillRandom(part.trace.span[:])
	part.classification = part.classifyListing()
	return part
}

// classifyListing is like classify for a part of a listing, which has no key of its own and no range.
func (r *request) classifyListing() route.Classification {
	return r.routes.Classify(route.RequestHeader{
		Method:        r.method,
		Location:      r.location,
		ContentLength: r.body.received,
		Prefer:        string(r.header.Get("prefer")),
	})
}

// cancelListing cancels a listing that has no response yet, and its parts; see cancelRequest.
func (g *Gateway) cancelListing(req *request, outcome Outcome) {
	defer g.releaseBodies(req.listing)
	req.listing.parent = nil
	req.response.final = true
	for i, part := range req.listing.parts {
		if part != nil && !part.response.final {
			req.listing.parts[i] = nil
			g.cancelRequest(part, outcome)
			g.recycle(part)
		}
	}
}

// receivePartData buffers a piece of the response to a part. It returns false if the listing
// exceeds Limits.ListingBytes.
func (g *Gateway) receivePartData(part *request, data []byte) bool {
	l := part.listing
	if l.bytes += len(data); l.bytes > part.config.Limits.ListingBytes {
		l.errorStatus, l.errorReason = 507, webdav.ErrListingTooLarge.Error()
		return false
	}
	body := &l.bodies[part.listingPart]
	g.buffers.append(body, data, -1)
	if !g.admission.MayBufferResponse(g.buffers.totalBytes()) {
		l.errorStatus, l.errorReason = 503, reasonNoBuffers
		return false
	}
	return true
}

// releaseBodies releases the responses to the parts of a listing that has its own response, or was cancelled.
func (g *Gateway) releaseBodies(l *listing) {
	for i := range l.bodies {
		l.discardPart(&g.buffers, i)
	}
}

// endPart records the final response of a part. When all parts have one, it answers the
// listing, unless that was cancelled.
func (g *Gateway) endPart(part *request) {
	l := part.listing
	if part.listingPart < len(l.parts) {
		l.parts[part.listingPart] = nil
	}
	l.recordPartResult(part)
	if l.pending--; l.pending <= 0 && l.parent != nil {
		g.respondWithListing(l)
	}
}

// recordPartResult records whether a part was rejected or failed.
func (l *listing) recordPartResult(part *request) {
	fromNode := part.response.source != nil
	switch {
	case part.response.status == 207:
	case part.response.status == 503 && !fromNode:
		l.rejected++
	case l.errorStatus != 0:
	case fromNode:
		l.errorStatus = part.response.status
		l.errorReason = "a storage node gave " + http1.StatusText(part.response.status) + " for its part of the listing"
	default:
		l.errorStatus = part.response.status
		l.errorReason = "a part of the listing failed: " + part.response.reason
	}
}

// respondWithListing answers a listing with its merged parts, or with an error if a part was
// rejected or failed. A listing without one of its parts is never sent, because the client
// would conclude that the missing resources have been deleted.
func (g *Gateway) respondWithListing(l *listing) {
	req := l.parent
	l.parent = nil // the request object may be reused after the response
	defer g.releaseBodies(l)
	if l.errorStatus != 0 {
		g.respondLocally(req, l.errorStatus, l.errorReason)
		return
	}
	if l.rejected > 0 {
		req.response.reason = reasonListingRejected
		g.counts.Local++
		g.writeLocalResponse(req, 503, []byte(req.response.reason+"\n"), func(b []byte) []byte {
			return appendRetryAfter(b, l.retryAfter)
		})
		return
	}
	body, err := webdav.MergeMultistatus(l.bodies, req.config.Limits.ListingBytes)
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
