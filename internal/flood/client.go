package flood

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// clientTimeout is how long a well-behaved client waits for a response.
const clientTimeout = 10 * time.Second

// runClient is a well-behaved client. It makes a connection for each request, as many clients do
// that come back at once after an outage, and pauses in between.
func (o *Options) runClient(ctx context.Context, source netip.Addr, stats *Stats) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		conn, err := o.dial(ctx, source)
		if pastDeadline(ctx) {
			if err == nil {
				conn.Close()
			}
			return
		}
		if err != nil {
			stats.addUnreachable()
			sleep(ctx, o.ClientInterval)
			continue
		}
		stats.addConnected(time.Since(startedAt))
		requestedAt := time.Now()
		status, err := o.get(conn)
		stats.addResponse(status, err, time.Since(requestedAt))
		conn.Close()
		sleep(ctx, o.ClientInterval)
	}
}

// pastDeadline reports whether the deadline of ctx is over. A dial that the deadline ends returns
// before ctx.Err says so, and would be counted as a fault of the gateway.
func pastDeadline(ctx context.Context) bool {
	deadline, _ := ctx.Deadline()
	return !time.Now().Before(deadline)
}

// get requests the path and reads the complete response.
func (o *Options) get(conn net.Conn) (status int, err error) {
	conn.SetDeadline(time.Now().Add(clientTimeout))
	io.WriteString(conn, "GET "+o.Path+" HTTP/1.1\r\nHost: known\r\nConnection: close\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
