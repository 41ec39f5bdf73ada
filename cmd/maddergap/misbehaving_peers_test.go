package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// misbehavingNode is a storage node that responds correctly to about half of its requests.
type misbehavingNode struct {
	listener net.Listener

	mu             sync.Mutex
	rand           *rand.Rand
	executionCount map[string]int // number of executions of a write, by path
}

// startMisbehavingNode starts a node on a free port. It accepts connections until its listener is closed.
func startMisbehavingNode(seed uint64) (*misbehavingNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &misbehavingNode{listener: listener, rand: rand.New(rand.NewPCG(seed, 1)), executionCount: map[string]int{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n, nil
}

// executions returns the number of executions of each write, by path.
func (n *misbehavingNode) executions() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.executionCount)
}

// randomInt returns a random number from 0 to limit-1.
func (n *misbehavingNode) randomInt(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.IntN(limit)
}

// serve handles the requests of a connection, each with a random behaviour.
func (n *misbehavingNode) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		behaviour := n.randomInt(26)
		if behaviour == 0 && r.ContentLength > 0 { // responds and closes before it reads the body
			io.WriteString(c, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(10 * time.Millisecond)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !n.respond(c, r, behaviour) {
			return
		}
	}
}

// respond responds to a request that was read in full, as the behaviour says. A behaviour without a case
// of its own is a correct response. respond reports whether the connection can be used again.
func (n *misbehavingNode) respond(c net.Conn, r *http.Request, behaviour int) bool {
	const notRun = 1
	if r.Method == "PUT" && behaviour != notRun {
		n.mu.Lock()
		n.executionCount[r.URL.Path]++
		n.mu.Unlock()
	}
	status := "200 OK"
	if r.Method == "PROPFIND" {
		status = "207 Multi-Status"
	}
	header := "HTTP/1.1 " + status + "\r\n"
	const listing = `<D:multistatus xmlns:D="DAV:"></D:multistatus>`
	switch behaviour {
	case notRun:
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nMaddergap-Ran: no\r\nContent-Length: 0\r\n\r\n")
		return true
	case 2:
		io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno")
		return true
	case 3:
		io.WriteString(c, "nonsense\r\n\r\n")
		return false
	case 4:
		resetConn(c)
		return false
	case 5: // resets the connection right after the header and a part of the body
		io.WriteString(c, header+"Content-Length: 1000\r\n\r\nab")
		resetConn(c)
		return false
	case 6: // sends a malformed chunk together with the header
		io.WriteString(c, header+"Transfer-Encoding: chunked\r\n\r\nzz\r\n")
		return false
	case 7:
		io.WriteString(c, header[:8])
		return false
	case 8:
		io.WriteString(c, header+"Content-Length: 5\r\n\r\nhello"+header+"Content-Length: 5\r\n\r\nworld")
		return true
	case 9: // closes between header and body
		io.WriteString(c, header+"Content-Length: 1000\r\n\r\n")
		time.Sleep(30 * time.Millisecond)
		return false
	case 10:
		time.Sleep(2500 * time.Millisecond)
		return false
	case 11, 12, 13: // sends the body so slowly that it can outlast a shutdown
		io.WriteString(c, header+"Transfer-Encoding: chunked\r\n\r\n")
		for range 10 + n.randomInt(100) {
			if _, err := io.WriteString(c, "5\r\nhello\r\n"); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
		io.WriteString(c, "0\r\n\r\n")
		return true
	}
	body := listing
	if strings.Contains(r.URL.Path, "big") {
		body = strings.Repeat("x", 8<<20)
	}
	if behaviour%2 == 0 {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	} else {
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", header, len(body), body)
	}
	return true
}

// resetConn closes a connection with a reset (RST).
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// clientLoad runs the well-behaved and the misbehaving clients of one instance.
type clientLoad struct {
	addr    string
	seed    uint64
	running sync.WaitGroup

	mu            sync.Mutex
	signalledAt   time.Time // time at which the instance was first told to stop; zero before that
	stopped       bool      // set when clients must start no further request
	violations    []string  // errors that the clients found
	responseCount int       // responses to well-behaved clients
	pathCount     int       // paths that path has returned
}

// recordViolation records an error that a client found.
func (l *clientLoad) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// isStopped reports whether the clients must stop.
func (l *clientLoad) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// wasSignalled reports whether the instance was told to stop.
func (l *clientLoad) wasSignalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.signalledAt.IsZero()
}

// path returns a path that is used for one request only.
func (l *clientLoad) path(prefix string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pathCount++
	return fmt.Sprintf("/feed-a/%s/%d", prefix, l.pathCount)
}

// start starts clients of both kinds. They run until stopped is set or the instance refuses connections.
func (l *clientLoad) start(wellBehaved, misbehaving int) {
	for i := range wellBehaved {
		l.running.Go(func() { l.runWellBehavedClient(rand.New(rand.NewPCG(l.seed, uint64(10+i)))) })
	}
	for i := range misbehaving {
		l.running.Go(func() { l.runMisbehavingClient(rand.New(rand.NewPCG(l.seed, uint64(100+i)))) })
	}
}

// runWellBehavedClient sends complete requests and reads their responses. It uses a connection for
// several requests if the connection stays open.
func (l *clientLoad) runWellBehavedClient(r *rand.Rand) {
	var c net.Conn
	var in *bufio.Reader
	for sent := 0; !l.isStopped(); sent++ {
		if c == nil || r.IntN(4) == 0 {
			if c != nil {
				c.Close()
			}
			var err error
			if c, err = net.DialTimeout("tcp", l.addr, time.Second); err != nil {
				return // the instance no longer listens
			}
			in, sent = bufio.NewReader(c), 0
		}
		if !l.sendComplete(r, c, in, sent == 0) {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// sendComplete sends one complete request and reads its response. It reports whether the connection can
// be used again. first says that the request is the first on its connection.
func (l *clientLoad) sendComplete(r *rand.Rand, c net.Conn, in *bufio.Reader, first bool) (reusable bool) {
	method, text := l.completeRequest(r)
	halfClose := r.IntN(8) == 0
	if halfClose {
		defer func() { reusable = false }()
	}
	c.SetDeadline(time.Now().Add(8 * time.Second))
	startedAt, signalledBefore := time.Now(), l.wasSignalled()
	io.WriteString(c, text)
	if halfClose {
		c.(*net.TCPConn).CloseWrite()
	}
	response, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		// While the instance shuts down, it may close an idle connection just as the next request arrives.
		if first || !signalledBefore && !l.wasSignalled() {
			l.recordViolation("%s (%.60q), first on its connection: %v, half-closed: %v: no response after %v: %v",
				method, text, first, halfClose, time.Since(startedAt).Round(time.Millisecond), err)
		}
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	l.mu.Lock()
	l.responseCount++
	l.mu.Unlock()
	return err == nil && !response.Close
}

// completeRequest returns a random request and its method.
func (l *clientLoad) completeRequest(r *rand.Rand) (method, text string) {
	end := []string{"\r\n\r\n", "\r\nConnection: close\r\n\r\n"}[r.IntN(2)]
	switch r.IntN(6) {
	case 0:
		return "PUT", fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 100%s%s", l.path("small"), end, strings.Repeat("x", 100))
	case 1:
		return "PUT", fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 100000%s%s", l.path("long"), end, strings.Repeat("x", 100_000))
	case 2:
		return "PUT", fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked%s3e8\r\n%s\r\n0\r\n\r\n", l.path("chunked"), end, strings.Repeat("x", 1000))
	case 3:
		return "PROPFIND", "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1" + end
	}
	return "GET", fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h%s", l.path("read"), end)
}

// runMisbehavingClient opens one connection after the other and misbehaves on each.
func (l *clientLoad) runMisbehavingClient(r *rand.Rand) {
	for !l.isStopped() {
		c, err := net.DialTimeout("tcp", l.addr, time.Second)
		if err != nil {
			return
		}
		c.SetDeadline(time.Now().Add(4 * time.Second))
		l.misbehave(r, c.(*net.TCPConn))
		c.Close()
	}
}

// misbehave sends one request. Either the request is incomplete or malformed, or the response is not read
// to its end.
func (l *clientLoad) misbehave(r *rand.Rand, c *net.TCPConn) {
	partial := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", l.path("begun"), strings.Repeat("x", 1000+r.IntN(90_000)))
	switch r.IntN(7) {
	case 0: // half-closes the connection within the body, and reads on
		io.WriteString(c, partial)
		c.CloseWrite()
		io.Copy(io.Discard, c)
	case 1:
		io.WriteString(c, partial)
		resetConn(c)
	case 2: // does not read its response
		c.SetReadBuffer(4096)
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", l.path("big"))
		time.Sleep(1500 * time.Millisecond)
	case 3: // stops within the body
		io.WriteString(c, partial)
		time.Sleep(1500 * time.Millisecond)
	case 4: // disconnects during the response
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", l.path("left"))
		c.SetReadDeadline(time.Now().Add(time.Duration(r.IntN(100)) * time.Millisecond))
		io.Copy(io.Discard, c)
	case 5:
		io.WriteString(c, "GET /feed-a/x HTTP/1.1\r\nbroken\r\n\r\n")
		io.Copy(io.Discard, c)
	case 6: // sends a malformed chunk after a valid one
		fmt.Fprintf(c, "PUT %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", l.path("malformed"))
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
		io.WriteString(c, "zz\r\n")
		io.Copy(io.Discard, c)
	}
}
