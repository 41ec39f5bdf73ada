package gateway

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"maddergap/internal/http1"
	"maddergap/internal/route"
	"maddergap/internal/webdav"
	"maddergap/scheduler"
)

// executedHeader is a field of a node's 503 response. The value "no" states that the node has
// rejected the request without executing it. After a 503 without the field it is unknown
// whether the request was executed.
const executedHeader = "Maddergap-Ran"

// webdavProtocol implements protocol for WebDAV. Requests and responses are streamed, and a
// listing may be merged from the responses of several nodes.
type webdavProtocol struct{}

func (webdavProtocol) beginRequest(g *Gateway, c *clientConn, req *request) {
	header := &req.header
	g.startTrace(req)
	if req.method == "OPTIONS" && string(header.Target) == "*" {
		g.applyWebDAVDecision(c, req, webdav.Decision{Handling: webdav.Options})
		return
	}
	path, _, err := route.SplitTarget(string(header.Target))
	if err == nil {
		req.location, err = req.routes.Locate(path)
	}
	if err != nil {
		status := 400
		if errors.Is(err, route.ErrUnknownVolume) {
			status = 404
		}
		g.respondLocally(req, status, err.Error())
		return
	}
	decision := webdav.Decide(req.routes, req.method, req.location, string(header.Get("depth")), string(header.Get("destination")), string(header.Host))
	g.applyWebDAVDecision(c, req, decision)
}

func (g *Gateway) applyWebDAVDecision(c *clientConn, req *request, decision webdav.Decision) {
	switch decision.Handling {
	case webdav.Respond:
		g.respondLocally(req, decision.Status, decision.Reason)
	case webdav.Options:
		g.respondToOptions(req)
	case webdav.ListRoot, webdav.MergeListings:
		if req.header.ContentLength > int64(req.config.Limits.BodyBuffer) {
			g.respondLocally(req, 413, reasonListingBodyTooLong)
			return
		}
		req.listing = &listing{isVolumeList: decision.Handling == webdav.ListRoot}
		g.sendContinue(c, req)
		if req.body.complete {
			g.beginListing(req)
		}
	case webdav.Forward:
		g.beginForward(c, req)
	}
}

func (g *Gateway) respondToOptions(req *request) {
	req.response.reason = "options"
	g.counts.Local++
	g.writeLocalResponse(req, 200, nil, func(b []byte) []byte {
		b = http1.AppendField(b, "Allow", []byte(webdav.Allow))
		b = http1.AppendField(b, "DAV", []byte(webdav.Compliance))
		return http1.AppendField(b, "MS-Author-Via", []byte("DAV"))
	})
}

// beginForward begins a request that is to be forwarded to a node. The request is submitted
// when its body is complete or fills its buffer. A request with a longer body whose client
// waits for 100 (Continue) is submitted at once, and the client is asked for the body only when
// the request is sent to a node. Otherwise the client might send the body only to have the
// request rejected.
func (g *Gateway) beginForward(c *clientConn, req *request) {
	req.volume = &req.config.Volumes[req.location.Volume]
	req.classification = req.classify(req.header.ContentLength)
	if req.header.ContentLength > int64(req.config.Limits.BodyBuffer) && req.header.ExpectContinue {
		g.submit(req)
		return
	}
	g.sendContinue(c, req)
	if req.body.complete {
		g.submit(req)
	}
}

func (webdavProtocol) prepareArrival(g *Gateway, req *request) *http1.Error {
	if req.listing == nil && req.body.complete && req.header.ContentLength < 0 {
		// The body is chunked, and its length is known only now.
		req.classification = req.classify(req.body.received)
	}
	class := &req.classification
	req.info.Arrival = scheduler.Arrival{
		Shard:         req.location.Shard,
		Plan:          req.volume.Plan,
		Class:         class.Class,
		Key:           class.OrderingKey,
		Volume:        req.volume.Name,
		TimeRemaining: class.Timeout,
		Units:         class.Units,
		Instances:     req.volume.Instances,
	}
	return nil
}

func (webdavProtocol) appendRequest(g *Gateway, b []byte, req *request, attempt *nodeAttempt) []byte {
	header := &req.header
	b = append(append(b, req.method...), ' ')
	b = append(append(b, originForm(header.Target)...), " HTTP/1.1\r\n"...)
	b = http1.AppendEndToEndFields(b, &header.Message, "expect", "traceparent", "x-request-id", "maddergap-attempt")
	if len(header.Host) == 0 { // Host is optional in HTTP/1.0, but required in HTTP/1.1
		b = http1.AppendField(b, "Host", []byte(attempt.conn.node.addr))
	}
	b = append(b, "Via: 1.1 maddergap\r\n"...)
	b = g.appendRequestIDField(b, req)
	b = http1.AppendIntField(b, "Maddergap-Attempt", int64(attempt.number))
	b = append(b, "traceparent: "...)
	return append(appendTraceparent(b, req.trace.id, attempt.spanID, req.trace.sampled), "\r\n"...)
}

// parseResponse treats the statuses 500, 502, 503 and 504 as failures of the attempt, except that
// a 503 with the value "no" in executedHeader means that the node's queue is full. Any other
// status is a response for the client.
func (webdavProtocol) parseResponse(r *http1.Response) (info ResponseInfo) {
	info.ReportedLoad, info.HasLoadReport = parseLoadReport(r.Get("endpoint-load-metrics"))
	switch r.Status {
	case 503:
		info.Outcome = scheduler.Failed
		if http1.EqualFold(r.Get(executedHeader), "no") {
			info.Outcome = scheduler.QueueFull
		}
	case 500, 502, 504:
		info.Outcome = scheduler.Failed
	}
	return info
}

// beginResponse forwards the header of the first usable response to the client. A further
// response to the same request is read and discarded.
func (webdavProtocol) beginResponse(g *Gateway, req *request, attempt *nodeAttempt) bool {
	if req.response.source != nil {
		return true
	}
	req.response.source = attempt
	req.response.status = attempt.conn.response.Status
	if req.attempts.uploading == attempt { // an early response: the rest of the body is not sent
		req.attempts.uploading = nil
		attempt.fullyQueued = false
	}
	if req.listing == nil {
		g.writeResponseHeader(req.client, req, &attempt.conn.response)
	}
	return true
}

func (webdavProtocol) beginUnwantedResponse(*nodeAttempt) bool { return true }

// writeResponseHeader writes the header of a node's response to a client.
func (g *Gateway) writeResponseHeader(c *clientConn, req *request, r *http1.Response) {
	req.response.outputStart = c.outputEnd()
	b := http1.AppendStatus(g.buffers.orNew(c.output, initialBufferBytes), r.Status)
	b = http1.AppendEndToEndFields(b, &r.Message, "x-request-id")
	b = g.appendRequestIDField(b, req)
	switch {
	case req.method == "HEAD" || r.Status == 304:
		if length := r.Get("content-length"); length != nil {
			b = http1.AppendField(b, "Content-Length", length)
		}
	case r.Status == 204:
	case r.ContentLength >= 0:
		b = http1.AppendIntField(b, "Content-Length", r.ContentLength)
	case req.header.MinorVersion == 1:
		req.response.chunked = true
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default:
		c.advancePhase(clientClosing) // the body is delimited by the end of the connection
	}
	g.buffers.set(&c.output, g.appendHeaderEnd(b, c, req))
	g.flushClient(c)
}

func (webdavProtocol) forwardResponseData(g *Gateway, req *request, attempt *nodeAttempt, data []byte) bool {
	if req.listing != nil {
		if !g.receivePartData(req, data) {
			g.abortNodeConn(attempt.conn, scheduler.Cancelled)
		}
		return true
	}
	c := req.client
	output := g.buffers.orNew(c.output, len(data))
	if req.response.chunked {
		output = http1.AppendChunk(output, data)
	} else {
		output = append(output, data...)
	}
	g.buffers.set(&c.output, output)
	g.flushClient(c)
	return true
}

func (webdavProtocol) endResponse(g *Gateway, req *request, attempt *nodeAttempt) {
	req.response.final = true
	g.counts.Served++
	if req.listing != nil {
		g.reportRequestEnd(req, Served)
		g.endPart(req)
		g.endAttempt(attempt, scheduler.OK)
		return
	}
	g.learnSize(req, &attempt.conn.response)
	if req.response.chunked {
		output := g.buffers.orNew(req.client.output, initialBufferBytes)
		g.buffers.set(&req.client.output, http1.AppendLastChunk(output))
	}
	g.endAttempt(attempt, scheduler.OK)
	g.reportRequestEnd(req, Served)
	g.handleResponseQueued(req)
}

// maxDiscardedBytes returns a limit that is small compared with the length of a streamed response.
func (webdavProtocol) maxDiscardedBytes() int64 { return 64 << 10 }

func (webdavProtocol) truncatedRequestOutcome() scheduler.Outcome { return scheduler.Reset }

func (webdavProtocol) brokenResponseOutcome() scheduler.Outcome { return scheduler.Reset }

func (webdavProtocol) allowsEarlyResponse() bool { return true }

func (webdavProtocol) eofMeansDisconnect() bool { return false }

func (webdavProtocol) appendRetryAfter(b []byte, after time.Duration) []byte {
	return appendRetryAfter(b, after)
}

func (webdavProtocol) handleRequestEnd(*request, Outcome) {}

// learnSize records the size of a resource, which is used to classify later requests.
func (g *Gateway) learnSize(req *request, r *http1.Response) {
	switch {
	case req.method == "GET" && r.Status == 200 && r.ContentLength >= 0:
		g.routes.LearnSize(req.location.Path, r.ContentLength)
	case req.method == "PUT" && r.Status < 300:
		g.routes.LearnSize(req.location.Path, req.body.received)
	}
}

// originForm converts a request target from absolute form to origin form (RFC 9112 section 3.2).
func originForm(target []byte) []byte {
	if target[0] == '/' {
		return target
	}
	if i := bytes.Index(target, []byte("://")); i >= 0 {
		if j := bytes.IndexByte(target[i+3:], '/'); j >= 0 {
			return target[i+3+j:]
		}
	}
	return []byte("/")
}

// maxReportedLoad bounds a reported load that is not a plain integer. A value that is not below
// it is treated as an error.
const maxReportedLoad = 1e9

// parseLoadReport parses the text form of ORCA's endpoint-load-metrics field. It returns the
// named metric inflight, which is the number of requests at the node.
func parseLoadReport(v []byte) (load float64, ok bool) {
	v, ok = bytes.CutPrefix(v, []byte("TEXT "))
	if !ok {
		return 0, false
	}
	for part := range http1.ListElements(v) {
		value, ok := bytes.CutPrefix(part, []byte("named_metrics.inflight="))
		if !ok {
			continue
		}
		if n, ok := http1.ParseDecimal(value); ok {
			return float64(n), true
		}
		load, err := strconv.ParseFloat(string(value), 64)
		return load, err == nil && load >= 0 && load < maxReportedLoad
	}
	return 0, false
}
