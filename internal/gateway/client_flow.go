package gateway

import "time"

// transferProgress is the progress of the transfer of a request body or a response.
type transferProgress struct {
	startedAt Time  // time at which the transfer began; 0: it has not begun
	bytes     int64 // number of bytes transferred
}

// deadline returns when a transfer that has just made progress times out: after noProgress,
// or earlier if its average rate, in bytes a second, falls below rate. The average is taken
// over the time since the start of the transfer, less grace. The minimum rate guards against
// peers that transfer a byte now and then: they never exceed a timeout between bytes, and
// would occupy a connection for ever. A rate of 0 sets no minimum.
func (p *transferProgress) deadline(now Time, noProgress, grace time.Duration, rate int64) Time {
	if rate <= 0 {
		return now + noProgress
	}
	return min(now+noProgress, p.startedAt+grace+Time(float64(p.bytes)/float64(rate)*float64(time.Second)))
}

// uploadDeadline returns when the transfer of the client's request body times out.
func (g *Gateway) uploadDeadline(c *clientConn) Time {
	return c.upload.deadline(g.clock.now, g.config.Timeouts.NoProgress, g.config.MinRates.Grace, g.config.MinRates.Body)
}

// downloadDeadline returns when the transfer of the response to the client times out.
func (g *Gateway) downloadDeadline(c *clientConn) Time {
	return c.download.deadline(g.clock.now, g.config.Timeouts.NoProgress, g.config.MinRates.Grace, g.config.MinRates.Response)
}

// stopUploadTimer stops the timeout for a client's request body. If output is pending, the
// timeout for reading it stays in force.
func (g *Gateway) stopUploadTimer(c *clientConn) {
	if len(c.pending()) > 0 && c.download.startedAt > 0 {
		g.setDeadline(c, c.readDeadline)
	} else {
		g.setDeadline(c, never)
	}
}

// bufferAllowance returns how many bytes of a response or a request body may be buffered for a
// connection at present. A transfer is paused above this number, and resumed at half of it.
func (g *Gateway) bufferAllowance() int {
	return g.admission.BufferAllowance(g.buffers.totalBytes(), g.config.Limits.ConnBuffer)
}

// flushClient asks the driver to write the pending bytes to a client, and starts the timeout
// for the client to read them.
func (g *Gateway) flushClient(c *clientConn) {
	if c.closed {
		return
	}
	if !c.flushPending && len(c.pending()) > 0 {
		if c.download.startedAt == 0 {
			c.download = transferProgress{startedAt: g.clock.now}
			c.readDeadline = g.downloadDeadline(c)
		}
		if c.timer.deadline == never {
			g.setDeadline(c, c.readDeadline)
		}
	}
	g.flush(c)
}

// resumeClientInput resumes reading from a paused client, and processes the bytes that were
// read before the pause.
func (g *Gateway) resumeClientInput(c *clientConn) {
	if !c.readingPaused {
		return
	}
	g.resumeReading(c)
	if len(c.unread) > 0 {
		g.storeUnread(c, g.consumeClientData(c, c.unread))
	}
	g.updateReceiving(c)
}
