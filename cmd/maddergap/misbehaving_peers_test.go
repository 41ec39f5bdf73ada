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

// misbehavingNode is a storage node that responds as it should about half of the time.
type misbehavingNode struct {
	listener net.Listener

	mu      sync.Mutex
	rand    *rand.Rand
	written map[string]int // how often a write was executed, by path
}

func startMisbehavingNode(seed uint64) (*misbehavingNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &misbehavingNode{listener: listener, rand: rand.New(rand.NewPCG(seed, 1)), written: map[string]int{}}
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

// executions returns how often each write was executed.
func (n *misbehavingNode) executions() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.written)
}

func (n *misbehavingNode) draw(count int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.IntN(count)
}

func (n *misbehavingNode) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		behaviour := n.draw(26)
		if behaviour == 0 && r.ContentLength > 0 { // early, without the body
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

// respond carries out one behaviour, and reports whether the connection goes on.
func (n *misbehavingNode) respond(c net.Conn, r *http.Request, behaviour int) bool {
	const notRun = 1
	if r.Method == "PUT" && behaviour != notRun {
		n.mu.Lock()
		n.written[r.URL.Path]++
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
	case 5: // the header comes with its reset
		io.WriteString(c, header+"Content-Length: 1000\r\n\r\nab")
		resetConn(c)
		return false
	case 6: // a malformed chunk comes with the header
		io.WriteString(c, header+"Transfer-Encoding: chunked\r\n\r\nzz\r\n")
		return false
	case 7:
		io.WriteString(c, header[:8])
		return false
	case 8:
		io.WriteString(c, header+"Content-Length: 5\r\n\r\nhello"+header+"Content-Length: 5\r\n\r\nworld")
		return true
	case 9: // closes in the middle
		io.WriteString(c, header+"Content-Length: 1000\r\n\r\n")
		time.Sleep(30 * time.Millisecond)
		return false
	case 10:
		time.Sleep(2500 * time.Millisecond)
		return false
	case 11, 12, 13: // dribbles, past the end of a shutdown too
		io.WriteString(c, header+"Transfer-Encoding: chunked\r\n\r\n")
		for range 10 + n.draw(100) {
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

func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// peers are the clients of one instance.
type peers struct {
	addr    string
	seed    uint64
	running sync.WaitGroup

	mu         sync.Mutex
	signalled  time.Time // when the instance was first told to stop; zero: it was not
	stopped    bool      // no further request is begun
	violations []string
	answered   int
	paths      int
}

func (p *peers) violation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

func (p *peers) over() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

func (p *peers) wasSignalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.signalled.IsZero()
}

// path returns a path that no other request has.
func (p *peers) path(prefix string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paths++
	return fmt.Sprintf("/feed-a/%s/%d", prefix, p.paths)
}

func (p *peers) start(wellBehaved, rude int) {
	for i := range wellBehaved {
		p.running.Go(func() { p.runWellBehaved(rand.New(rand.NewPCG(p.seed, uint64(10+i)))) })
	}
	for i := range rude {
		p.running.Go(func() { p.runRude(rand.New(rand.NewPCG(p.seed, uint64(100+i)))) })
	}
}

// runWellBehaved sends whole requests, reads their responses, and sends further ones on a
// connection that stays open.
func (p *peers) runWellBehaved(r *rand.Rand) {
	var c net.Conn
	var in *bufio.Reader
	for sent := 0; !p.over(); sent++ {
		if c == nil || r.IntN(4) == 0 {
			if c != nil {
				c.Close()
			}
			var err error
			if c, err = net.DialTimeout("tcp", p.addr, time.Second); err != nil {
				return // the listener is closed
			}
			in, sent = bufio.NewReader(c), 0
		}
		if !p.sendWhole(r, c, in, sent == 0) {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// sendWhole sends one request and reads its response. It reports whether the connection can be
// used again.
func (p *peers) sendWhole(r *rand.Rand, c net.Conn, in *bufio.Reader, first bool) (reusable bool) {
	method, text := p.wholeRequest(r)
	halfClose := r.IntN(8) == 0
	if halfClose {
		defer func() { reusable = false }()
	}
	c.SetDeadline(time.Now().Add(8 * time.Second))
	began, signalledBefore := time.Now(), p.wasSignalled()
	io.WriteString(c, text)
	if halfClose {
		c.(*net.TCPConn).CloseWrite()
	}
	response, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		// A connection may be closed under its next request while the instance stops.
		if first || !signalledBefore && !p.wasSignalled() {
			p.violation("%s (%.60q), first on its connection: %v, half-closed: %v, no response after %v: %v",
				method, text, first, halfClose, time.Since(began).Round(time.Millisecond), err)
		}
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	p.mu.Lock()
	p.answered++
	p.mu.Unlock()
	return err == nil && !response.Close
}

// wholeRequest draws a request.
func (p *peers) wholeRequest(r *rand.Rand) (method, text string) {
	end := []string{"\r\n\r\n", "\r\nConnection: close\r\n\r\n"}[r.IntN(2)]
	switch r.IntN(6) {
	case 0:
		return "PUT", fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 100%s%s", p.path("small"), end, strings.Repeat("x", 100))
	case 1:
		return "PUT", fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 100000%s%s", p.path("long"), end, strings.Repeat("x", 100_000))
	case 2:
		return "PUT", fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked%s3e8\r\n%s\r\n0\r\n\r\n", p.path("chunked"), end, strings.Repeat("x", 1000))
	case 3:
		return "PROPFIND", "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1" + end
	}
	return "GET", fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h%s", p.path("read"), end)
}

// runRude begins requests and does not carry them through.
func (p *peers) runRude(r *rand.Rand) {
	for !p.over() {
		c, err := net.DialTimeout("tcp", p.addr, time.Second)
		if err != nil {
			return
		}
		c.SetDeadline(time.Now().Add(4 * time.Second))
		p.beRude(r, c.(*net.TCPConn))
		c.Close()
	}
}

func (p *peers) beRude(r *rand.Rand, c *net.TCPConn) {
	begun := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", p.path("begun"), strings.Repeat("x", 1000+r.IntN(90_000)))
	switch r.IntN(7) {
	case 0: // ends its sending side within the body, and reads on
		io.WriteString(c, begun)
		c.CloseWrite()
		io.Copy(io.Discard, c)
	case 1:
		io.WriteString(c, begun)
		resetConn(c)
	case 2: // does not read its response
		c.SetReadBuffer(4096)
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", p.path("big"))
		time.Sleep(1500 * time.Millisecond)
	case 3: // stops within the body
		io.WriteString(c, begun)
		time.Sleep(1500 * time.Millisecond)
	case 4: // leaves within the response
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", p.path("left"))
		c.SetReadDeadline(time.Now().Add(time.Duration(r.IntN(100)) * time.Millisecond))
		io.Copy(io.Discard, c)
	case 5:
		io.WriteString(c, "GET /feed-a/x HTTP/1.1\r\nbroken\r\n\r\n")
		io.Copy(io.Discard, c)
	case 6: // sends a malformed chunk behind a good one
		fmt.Fprintf(c, "PUT %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", p.path("malformed"))
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
		io.WriteString(c, "zz\r\n")
		io.Copy(io.Discard, c)
	}
}
