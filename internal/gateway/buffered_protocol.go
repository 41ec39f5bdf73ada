package gateway

import (
	"time"

	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// SetProtocol sets the protocol that the gateway uses with clients and nodes instead of
// WebDAV. It must be called before any event.
func (g *Gateway) SetProtocol(p Protocol) { g.protocol = bufferedProtocol{p} }

// bufferedProtocol implements protocol on top of a Protocol. It buffers each request and
// response until it is complete.
type bufferedProtocol struct{ p Protocol }

func (b bufferedProtocol) beginRequest(g *Gateway, c *clientConn, req *request) {
	info := b.p.ParseRequest(&req.header)
	if info.Status != 0 {
		if info.Close {
			c.advancePhase(clientClosing)
		}
		g.respondLocally(req, info.Status, info.Reason)
		return
	}
	req.info = info
	req.body.bufferFully = true
	if req.header.ContentLength > int64(req.config.Limits.BodyBuffer) {
		g.rejectLongBody(c, req)
		return
	}
	g.sendContinue(c, req)
	if req.body.complete {
		g.submit(req)
	}
}

func (b bufferedProtocol) prepareArrival(_ *Gateway, req *request) *http1.Error {
	return b.p.BeginRequest(&req.info)
}

func (b bufferedProtocol) appendRequest(g *Gateway, dst []byte, req *request, attempt *nodeAttempt) []byte {
	attempt.announcedTimeout = attempt.identity.timeRemaining(g.clock.now)
	return b.p.AppendRequest(dst, &req.header, attempt.announcedTimeout)
}

func (b bufferedProtocol) parseResponse(r *http1.Response) ResponseInfo { return b.p.ParseResponse(r) }

// beginResponse begins to buffer a response. It returns false if the announced length exceeds
// the limit. A response that is delimited by the end of the connection is complete after an
// EOF, but not after a reset or a timeout.
func (b bufferedProtocol) beginResponse(_ *Gateway, _ *request, attempt *nodeAttempt) bool {
	return b.beginUnwantedResponse(attempt)
}

// beginUnwantedResponse sets the same limits as beginResponse, but allocates no buffer.
func (b bufferedProtocol) beginUnwantedResponse(attempt *nodeAttempt) bool {
	attempt.bufferResponse = true
	attempt.noProgressTimeout = b.p.ResponseNoProgressTimeout()
	limit, _ := b.p.MaxResponseBytes()
	return attempt.conn.response.ContentLength <= limit
}

func (b bufferedProtocol) forwardResponseData(g *Gateway, _ *request, attempt *nodeAttempt, data []byte) bool {
	limit, totalLimit := b.p.MaxResponseBytes()
	if int64(len(attempt.responseBody)+len(data)) > limit {
		return false
	}
	g.appendToResponse(attempt, data)
	return g.limitResponses(attempt, totalLimit)
}

func (b bufferedProtocol) endResponse(g *Gateway, req *request, attempt *nodeAttempt) {
	req.response.final = true
	req.response.source = attempt
	req.response.status = attempt.conn.response.Status
	g.counts.Served++
	client := req.client
	output := g.buffers.orNew(client.output, maxLocalHeaderBytes+len(attempt.responseBody))
	output = http1.AppendStatus(output, req.response.status)
	output = http1.AppendIntField(output, "Content-Length", int64(len(attempt.responseBody)))
	output = append(g.appendHeaderEnd(output, client, req), attempt.responseBody...)
	g.buffers.set(&client.output, output)
	g.endAttempt(attempt, scheduler.OK)
	g.reportRequestEnd(req, Served)
	g.handleResponseQueued(req)
}

// maxDiscardedBytes returns the limit on response bodies, so that every permitted response is
// read to its end and its connection can be reused. Connections to nodes are scarce, and each
// one that is closed has to be established anew.
func (b bufferedProtocol) maxDiscardedBytes() int64 {
	limit, _ := b.p.MaxResponseBytes()
	return limit
}

// truncatedRequestOutcome returns ConnectFailed: a node executes only complete requests, so
// that a request of which it received only a part was not executed.
func (bufferedProtocol) truncatedRequestOutcome() scheduler.Outcome { return scheduler.ConnectFailed }

func (bufferedProtocol) brokenResponseOutcome() scheduler.Outcome { return scheduler.Failed }

func (bufferedProtocol) allowsEarlyResponse() bool { return false }

func (bufferedProtocol) eofMeansDisconnect() bool { return true }

func (b bufferedProtocol) appendRetryAfter(dst []byte, after time.Duration) []byte {
	return b.p.AppendRetryAfter(dst, after)
}

func (b bufferedProtocol) handleRequestEnd(req *request, outcome Outcome) {
	if req.id != 0 {
		b.p.EndRequest(&req.info, outcome)
	}
}
