package gateway

// The functions in this file keep one client from delaying others by many pipelined requests; see
// admission.Turn.

// mayBeginRequest reports whether the next request of a connection may begin now. If not, it pauses reading:
// until the next turn of the connection, or until the client has read the responses that are pending.
func (g *Gateway) mayBeginRequest(c *clientConn) bool {
	switch {
	case c.turn.Over(g.clock.now):
		g.waitForTurn(c)
	case len(c.pending()) == 0, len(c.pending()) <= g.bufferAllowance():
		return true
	}
	g.pauseReading(c)
	return false
}

// waitForTurn has the connection go on in its next turn.
func (g *Gateway) waitForTurn(c *clientConn) {
	if !c.waitsForTurn {
		c.waitsForTurn = true
		g.waitingForTurn = append(g.waitingForTurn, c)
	}
}

// startTurns starts the next request of each connection whose next turn has come.
func (g *Gateway) startTurns() {
	waiting := g.waitingForTurn
	g.waitingForTurn = g.spareTurns[:0]
	for _, c := range waiting {
		if !c.closed && g.clock.now < c.turn.End() {
			g.waitingForTurn = append(g.waitingForTurn, c)
			continue
		}
		c.waitsForTurn = false
		g.startNextRequest(c)
	}
	clear(waiting)
	g.spareTurns = waiting
}

// nextTurn returns when startTurns has to be called next.
func (g *Gateway) nextTurn() Time {
	next := never
	for _, c := range g.waitingForTurn {
		next = min(next, c.turn.End())
	}
	return next
}
