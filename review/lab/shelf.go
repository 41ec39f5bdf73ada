package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ShelfConn is a connection to a shelf. Only its handler uses it.
type ShelfConn struct {
	net.Conn
	In *bufio.Reader
}

// Attempt is a request that has come whole to a shelf.
type Attempt struct {
	ID, Class, Remaining string
	Write                bool
	Body                 []byte
	At                   time.Time // when its last byte came
}

// Handler answers an attempt and reports whether the connection stays open.
type Handler func(c *ShelfConn, a *Attempt) (keep bool)

// NewShelf starts a stand-in for a shelf that holds a shard, and returns its address. It reads one
// request at a time from each connection; handler is called concurrently for different connections. A
// request for another shard is turned away unrun.
func NewShelf(shard int, handler Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	held := fmt.Sprintf("shard=%d", shard)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveShelf(c, held, handler)
		}
	}()
	return l.Addr().String()
}

func serveShelf(c net.Conn, held string, handler Handler) {
	defer c.Close()
	sc := &ShelfConn{Conn: c, In: bufio.NewReader(c)}
	for {
		q, err := http.ReadRequest(sc.In)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		a := &Attempt{ID: q.Header.Get("X-Txn"), Class: q.Header.Get("X-Lane"), Remaining: q.Header.Get("X-Remaining"),
			Write: q.Method == "PUT", Body: body, At: time.Now()}
		info := strings.Split(q.Header.Get("IO-Info"), ",")
		if !slices.Contains(info, held) && !slices.Contains(info, "shard=-1") {
			TurnAway(c)
			continue
		}
		if !handler(sc, a) {
			return
		}
	}
}

// TurnAway writes the answer that turns a request away unrun.
func TurnAway(c net.Conn) {
	fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
}

// Answer writes an answer of status 200.
func Answer(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Pressure: inflight=1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// NewLink starts a proxy to an address that lets every byte take a time each way, as the network between
// two halls does, and returns its own address.
func NewLink(to string, oneWay time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d, err := net.Dial("tcp", to)
			if err != nil {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				continue
			}
			go carry(c, d, oneWay)
			go carry(d, c, oneWay)
		}
	}()
	return l.Addr().String()
}

// piece is a piece of a stream on a link.
type piece struct {
	data []byte
	due  time.Time
}

func carry(from, to net.Conn, oneWay time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{buffer[:n], time.Now().Add(oneWay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	time.Sleep(oneWay)
	to.Close()
	from.Close()
}

// Cut is a proxy to an address whose way can be cut: from then on bytes wait in both directions, as in the
// send buffers of the machines. Mending it lets the bytes through, but not those of a connection that its
// sender has reset meanwhile. A connection that is made while the way is cut stays silent and is reset
// when it is mended.
type Cut struct {
	Addr string

	mu     sync.Mutex
	mended *sync.Cond
	cut    bool
}

// NewCut starts a proxy to an address.
func NewCut(to string) *Cut {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	w := &Cut{Addr: l.Addr().String()}
	w.mended = sync.NewCond(&w.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if w.isCut() {
				go func() {
					w.wait()
					reset(c)
				}()
				continue
			}
			d, err := net.Dial("tcp", to)
			if err != nil {
				reset(c)
				continue
			}
			go w.carry(c, d)
			go w.carry(d, c)
		}
	}()
	return w
}

// Set cuts the way, or mends it.
func (w *Cut) Set(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.mended.Broadcast()
}

func (w *Cut) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// wait returns once the way is not cut.
func (w *Cut) wait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.cut {
		w.mended.Wait()
	}
}

func (w *Cut) carry(from, to net.Conn) {
	var gone atomic.Bool // the sender has reset the connection
	data := make(chan []byte, 1024)
	go func() {
		defer close(data)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				data <- buffer[:n]
			}
			if err != nil {
				gone.Store(!errors.Is(err, io.EOF))
				return
			}
		}
	}()
	for p := range data {
		w.wait()
		if gone.Load() {
			break
		}
		if _, err := to.Write(p); err != nil {
			break
		}
	}
	w.wait()
	if gone.Load() {
		reset(to)
	}
	to.Close()
	from.Close()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
