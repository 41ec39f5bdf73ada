package soak

import (
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// stalledRequestTimeout is the time in which an instance has to end a connection whose request
	// is incomplete.
	stalledRequestTimeout = 3 * time.Second
	// idleConns is how many idle connections a fault opens: half as many as the instance may have
	// descriptors.
	idleConns           = instanceDescriptors / 2
	idleConnDialTimeout = 100 * time.Millisecond
)

// disconnectFor makes clients disconnect before their response for a while, at half of the requests.
func (g *clientGroup) disconnectFor(duration time.Duration) {
	g.disconnecting.Store(true)
	time.Sleep(duration)
	g.disconnecting.Store(false)
}

// stall opens a connection, sends half of a request and waits. It returns an error if the instance
// neither responds nor closes the connection in time.
func (g *clientGroup) stall() error {
	conn, err := net.DialTimeout("tcp", g.addr, clientDialTimeout)
	if err != nil {
		return nil // the instance is down, or admits no connection
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

// crowdUntil holds many connections without requests until a time, and opens new ones for those
// that the instance closes.
func (g *clientGroup) crowdUntil(end time.Time) {
	const renewInterval = time.Second
	for time.Now().Before(end) {
		g.holdIdleConns(min(renewInterval, time.Until(end)))
	}
}

// holdIdleConns opens many connections, sends nothing on them and closes them after a while.
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
