package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const start = 24 * time.Hour

// rig drives a client over connections of its own and plays discovery. Connections come up
// at once.
type rig struct {
	t     *testing.T
	c     *Client
	now   Time
	next  Time
	dials []string
	// calls are those written and not answered, by connection.
	calls  map[int]string
	open   map[int]bool
	asked  string // the last call written
	conn   int    // that it was written on
	closed int
	most   int // connections open at a time
	onCall func(conn int, path string)
}

func newRig(t *testing.T) *rig { return rigOf(t, New("10.0.0.1:1", []string{"z0", "z1"}, false, 1)) }

func rigOf(t *testing.T, c *Client) *rig {
	r := &rig{t: t, c: c, now: start, calls: map[int]string{}, open: map[int]bool{}}
	r.run()
	return r
}

func (r *rig) run() {
	for range 100 {
		op, next := r.c.Step(r.now)
		switch r.next = next; {
		case op.Dial != "":
			if r.open[op.Conn] {
				r.t.Fatal("dials a connection that it has")
			}
			r.dials, r.open[op.Conn] = append(r.dials, op.Dial), true
			r.most = max(r.most, len(r.open))
			r.c.Connected(r.now, op.Conn)
		case op.Close:
			if !r.open[op.Conn] {
				r.t.Fatal("closes a connection that it has not")
			}
			delete(r.open, op.Conn)
			delete(r.calls, op.Conn)
			r.closed++
		case len(op.Write) > 0:
			if !r.open[op.Conn] || r.calls[op.Conn] != "" {
				r.t.Fatal("asks on a connection that it has not, or that has a call")
			}
			line, _, _ := strings.Cut(string(op.Write), "\r\n")
			r.asked, r.conn, r.calls[op.Conn] = line, op.Conn, line
			if r.onCall != nil {
				r.onCall(op.Conn, line)
			}
		default:
			return
		}
	}
	r.t.Fatal("never at rest")
}

// pass lets time go by.
func (r *rig) pass(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now = max(min(end, r.next), r.now+time.Microsecond)
		r.run()
	}
}

// data gives bytes on a connection.
func (r *rig) data(conn int, p string) {
	if r.open[conn] {
		r.c.Data(r.now, conn, []byte(p))
	}
}

// lose breaks a connection.
func (r *rig) lose(conn int) {
	if r.open[conn] {
		delete(r.open, conn)
		delete(r.calls, conn)
		r.c.Closed(r.now, conn)
	}
}

// answer sends a list for the last call, in pieces of n bytes, and passes the least time
// between two calls.
func (r *rig) answer(text string, n int) {
	conn := r.conn
	delete(r.calls, conn)
	for b := response(text); len(b) > 0 && r.open[conn]; {
		k := min(n, len(b))
		r.data(conn, b[:k])
		b = b[k:]
		r.run()
	}
	r.pass(spacing)
}

func response(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func list(index int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, whole, strings.Join(entries, ","))
}

func entry(name, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":"10.0.0.9:1","zone":"z1","type":"x","group":2,"status":%q,"weight":1.0,"since_ms":1700000000123}`, name, status)
}
