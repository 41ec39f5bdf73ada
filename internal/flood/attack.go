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

// Pattern is the way in which a connection of the flood presses on the gateway.
type Pattern string

// The patterns, by their names on the command line.
const (
	Hold       Pattern = "hold"        // sends nothing and stays open
	Close      Pattern = "close"       // closes at once
	SlowHeader Pattern = "slow-header" // sends a request byte by byte
	SlowBody   Pattern = "slow-body"   // sends a request body byte by byte
	SlowReader Pattern = "slow-reader" // sends requests and reads no response
	Greed      Pattern = "greed"       // sends many pipelined requests and reads the responses
	Hoard      Pattern = "hoard"       // sends one request and then stays open, idle
)

// Patterns are all patterns.
var Patterns = []Pattern{Hold, Close, SlowHeader, SlowBody, SlowReader, Greed, Hoard}

const (
	// slowByteInterval is the pause after each byte of a slow request.
	slowByteInterval = 200 * time.Millisecond
	// slowBodyBytes of the announced body are sent at most, so it never becomes complete.
	slowBodyBytes = 1000
	// slowReaderBuffer is the receive buffer in bytes; it is small, so that responses stay with
	// the gateway.
	slowReaderBuffer   = 4096
	slowReaderRequests = 50
	greedRequests      = 100
)

// attack makes one connection of the flood and keeps it until either side ends it.
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
	o.send(ctx, conn)
	switch o.Pattern {
	case Close:
	case SlowReader:
		sleep(ctx, o.Duration)
	default:
		readResponses(conn, stats)
	}
}

// send sends what the pattern has a connection send. Slow patterns go on in the background until
// the connection is closed.
func (o *Options) send(ctx context.Context, conn net.Conn) {
	get := "GET " + o.Path + " HTTP/1.1\r\nHost: flood\r\n\r\n"
	switch o.Pattern {
	case SlowHeader:
		go sendSlowly(ctx, conn, get)
	case SlowBody:
		io.WriteString(conn, "PUT "+o.Path+".flood HTTP/1.1\r\nHost: flood\r\nContent-Length: 1000000\r\n\r\n")
		go sendSlowly(ctx, conn, strings.Repeat("\x00", slowBodyBytes))
	case SlowReader:
		conn.(*net.TCPConn).SetReadBuffer(slowReaderBuffer)
		sendTimes(conn, get, slowReaderRequests)
	case Greed:
		sendTimes(conn, get, greedRequests)
	case Hoard:
		io.WriteString(conn, get)
	}
}

// sendTimes writes a request n times. Errors are left to whoever reads the connection.
func sendTimes(conn net.Conn, request string, n int) {
	for range n {
		io.WriteString(conn, request)
	}
}

func sendSlowly(ctx context.Context, conn net.Conn, text string) {
	for i := range len(text) {
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil || !sleep(ctx, slowByteInterval) {
			return
		}
	}
}

// readResponses counts responses until the gateway rejects a request or the connection ends.
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
