package flood

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Pattern is the behavior of a connection of the flood.
type Pattern string

// The patterns. Their values are the names on the command line.
const (
	Hold          Pattern = "hold"        // sends nothing and keeps the connection open
	Close         Pattern = "close"       // closes the connection at once
	SlowHeader    Pattern = "slow-header" // sends a request header byte by byte
	SlowBody      Pattern = "slow-body"   // sends a request body byte by byte
	SlowReader    Pattern = "slow-reader" // sends requests and does not read the responses
	Pipelining    Pattern = "greed"       // sends many pipelined requests and reads the responses
	IdleKeepAlive Pattern = "hoard"       // sends one request and then keeps the connection open without another
)

// Patterns lists all patterns.
var Patterns = []Pattern{Hold, Close, SlowHeader, SlowBody, SlowReader, Pipelining, IdleKeepAlive}

const (
	// slowByteInterval is the pause after each byte of SlowHeader and SlowBody.
	slowByteInterval = 200 * time.Millisecond
	// slowBodyBytes is the maximum number of body bytes that SlowBody sends. It is less than the
	// Content-Length, so the body never becomes complete.
	slowBodyBytes = 1000
	// slowReaderBuffer is the size of the receive buffer of a SlowReader connection in bytes. It is
	// small, so that most of the responses stay in the gateway's buffers.
	slowReaderBuffer   = 4096
	slowReaderRequests = 50
	pipelinedRequests  = 100
)

// attack makes one connection of the flood, follows the pattern until either side closes the connection,
// and counts the outcome.
func (o *Options) attack(ctx context.Context, source netip.Addr, stats *Stats) {
	stats.count(&stats.Attempts)
	conn, err := o.dial(ctx, source)
	if err != nil {
		stats.count(&stats.Unreachable)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	stats.count(&stats.Connected)
	o.sendPattern(ctx, conn)
	switch o.Pattern {
	case Close:
	case SlowReader:
		sleep(ctx, o.Duration)
	default:
		readResponses(conn, stats)
	}
}

// sendPattern sends the requests of the pattern. Slow patterns continue to send in the background until
// the connection is closed or ctx is done.
func (o *Options) sendPattern(ctx context.Context, conn net.Conn) {
	get := "GET " + o.Path + " HTTP/1.1\r\nHost: flood\r\n\r\n"
	switch o.Pattern {
	case SlowHeader:
		go sendSlowly(ctx, conn, get)
	case SlowBody:
		io.WriteString(conn, "PUT "+o.Path+".flood HTTP/1.1\r\nHost: flood\r\nContent-Length: 1000000\r\n\r\n")
		go sendSlowly(ctx, conn, strings.Repeat("\x00", slowBodyBytes))
	case SlowReader:
		conn.(*net.TCPConn).SetReadBuffer(slowReaderBuffer)
		sendRepeatedly(conn, get, slowReaderRequests)
	case Pipelining:
		sendRepeatedly(conn, get, pipelinedRequests)
	case IdleKeepAlive:
		io.WriteString(conn, get)
	}
}

// sendRepeatedly writes a request n times. It ignores write errors, since a failed connection also ends
// the reads.
func sendRepeatedly(conn net.Conn, request string, n int) {
	for range n {
		io.WriteString(conn, request)
	}
}

// sendSlowly writes a text byte by byte until an error or until ctx is done.
func sendSlowly(ctx context.Context, conn net.Conn, text string) {
	for i := range len(text) {
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil || !sleep(ctx, slowByteInterval) {
			return
		}
	}
}

// readResponses counts responses until the gateway rejects a request (status 503 or 408) or the
// connection ends.
func readResponses(conn net.Conn, stats *Stats) {
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			stats.count(&stats.Closed)
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusRequestTimeout {
			stats.count(&stats.Rejected)
			return
		}
		stats.count(&stats.Served)
	}
}
