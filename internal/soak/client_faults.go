package soak

import (
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// stalledRequestTimeout is the time within which an instance must respond to an incomplete request
	// or close its connection.
	stalledRequestTimeout = 3 * time.Second
	// idleConns is the number of idle connections that a fault opens: half of the instance's limit of
	// descriptors.
	idleConns           = instanceDescriptors / 2
	idleConnDialTimeout = 100 * time.Millisecond
)

// disconnectFor makes clients disconnect before the response in half of their requests, and returns
// after the duration.
func (g *clientGroup) disconnectFor(duration time.Duration) {
	g.disconnecting.Store(true)
	time.Sleep(duration)
	g.disconnecting.Store(false)
}

// stall opens a connection, sends the first half of a request and nothing more. It returns an error if
// the instance neither responds nor closes the connection within stalledRequestTimeout plus
// responseGrace.
func (g *clientGroup) stall() error {
	conn, err := net.DialTimeout("tcp", g.addr, clientDialTimeout)
	if err != nil {
		return nil // the instance is down or rejects connections
	}
	defer conn.Close()
	text := g.deployment.formatRequest(request{id: "0", volume: unlimitedVolume, timeout: time.Second})
	if _, err := io.WriteString(conn, text[:len(text)/2]); err != nil {
		return nil
	}
	conn.SetReadDeadline(time.Now().Add(stalledRequestTimeout + responseGrace))
	if _, err := conn.Read(make([]byte, 1)); isTimeout(err) {
		return fmt.Errorf("head %d gave a client that stopped in its request neither an error nor an end within %v", g.instance, stalledRequestTimeout)
	}
	return nil
}

// holdIdleConnsUntil holds idle connections until end. It replaces all of them every renewInterval, since
// the instance may have closed some.
func (g *clientGroup) holdIdleConnsUntil(end time.Time) {
	const renewInterval = time.Second
	for time.Now().Before(end) {
		g.holdIdleConns(min(renewInterval, time.Until(end)))
	}
}

// holdIdleConns opens up to idleConns connections, sends nothing on them and closes them after the
// duration.
func (g *clientGroup) holdIdleConns(duration time.Duration) {
	var conns []net.Conn
	for range idleConns {
		if conn, err := net.DialTimeout("tcp", g.addr, idleConnDialTimeout); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(duration)
	for _, conn := range conns {
		conn.Close()
	}
}
