package gateway

import "time"

// transferProgress is how far a body or a response has come.
type transferProgress struct {
	since Time // when it began; 0: it has not
	bytes int64
}

// deadline returns when a transfer times out: when it has made no progress for noProgress,
// or when it is slower than rate bytes a second after grace. The rate guards against peers
// that transfer a byte now and then, which never reach a timeout between bytes, and would
// occupy a connection for ever. A rate of 0 sets no minimum.
func (p *transferProgress) deadline(now Time, noProgress, grace time.Duration, rate int64) Time {
	if rate <= 0 {
		return now + noProgress
	}
	return min(now+noProgress, p.since+grace+Time(float64(p.bytes)/float64(rate)*float64(time.Second)))
}

// uploadDeadline and downloadDeadline return when the transfer of a request body, or of a
// response, times out.
func (g *Gateway) uploadDeadline(c *clientConn) Time {
	return c.upload.deadline(g.clock.now, g.config.Timeouts.NoProgress, g.config.MinRates.Grace, g.config.MinRates.Body)
}

func (g *Gateway) downloadDeadline(c *clientConn) Time {
	return c.download.deadline(g.clock.now, g.config.Timeouts.NoProgress, g.config.MinRates.Grace, g.config.MinRates.Response)
}

// stopUploadTimer ends the wait for the body of a client. What is pending for it still has to be
// read in time.
func (g *Gateway) stopUploadTimer(c *clientConn) {
	if len(c.pending()) > 0 && c.download.since > 0 {
		g.setDeadline(c, c.readBy)
	} else {
		g.setDeadline(c, never)
	}
}

// bufferAllowance returns how many bytes of a response or a body a connection may hold
// now. A transfer is paused above it and resumed below half of it.
func (g *Gateway) bufferAllowance() int {
	return g.admission.BufferAllowance(g.buffers.clientBytes, g.config.Limits.ConnBuffer)
}

// accountClientBytes updates the account of the bytes that are held for clients.
func (g *Gateway) accountClientBytes(c *clientConn) {
	n := len(c.unread) + len(c.out)
	if req := c.req; req != nil {
		n += len(req.body.data)
		if req.listing != nil {
			n += req.listing.bytes
		}
	}
	g.buffers.clientBytes += int64(n - c.accountedBytes)
	c.accountedBytes = n
}

// flushClient has what is pending written to a client, which has to take it in time.
func (g *Gateway) flushClient(c *clientConn) {
	if c.closed {
		return
	}
	g.accountClientBytes(c)
	if !c.flushPending && len(c.pending()) > 0 {
		if c.download.since == 0 {
			c.download = transferProgress{since: g.clock.now}
			c.readBy = g.downloadDeadline(c)
		}
		if c.timer.deadline == never {
			g.setDeadline(c, c.readBy)
		}
	}
	g.flush(c)
}

// resumeClientInput reads a paused client again, and uses what was read before the pause.
func (g *Gateway) resumeClientInput(c *clientConn) {
	if !c.paused {
		return
	}
	g.resumeReading(c)
	if len(c.unread) > 0 {
		g.storeUnread(c, g.consumeClientData(c, c.unread))
	}
}
