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

// clientTimeout is how long a well-behaved client waits for a complete response.
const clientTimeout = 10 * time.Second

// runClient runs a well-behaved client until ctx is done. It makes a new connection for each request,
// like the many clients that reconnect at the same time after an outage, and pauses after each.
func (o *Options) runClient(ctx context.Context, source netip.Addr, stats *Stats) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		conn, err := o.dial(ctx, source)
		if isPastDeadline(ctx) {
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

// isPastDeadline reports whether the deadline of ctx has passed. It is needed in addition to ctx.Err: a
// dial that the deadline interrupts can return before ctx.Err is set, and would then be counted as
// unreachable.
func isPastDeadline(ctx context.Context) bool {
	deadline, _ := ctx.Deadline()
	return !time.Now().Before(deadline)
}

// get sends a GET request and reads the complete response.
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
