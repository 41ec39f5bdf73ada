// Package flood is the load side of admission: many source addresses of the
// loopback range press on a head in several ways, bounded in count and time,
// while known clients go on, and each kind's fate is told.
package flood

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"maddergap/internal/subprocess"
)

// Patterns of a flood.
var Patterns = []string{"hold", "close", "slow-header", "slow-body", "slow-reader", "greed", "hoard"}

// Options of a flood.
type Options struct {
	Target   string // the head, a loopback address
	Path     string // that is read
	Pattern  string
	Sources  []netip.Addr // whose turn it is, one after the other
	Tries    int          // connections to try, in all
	AtOnce   int          // workers
	Length   time.Duration
	Known    []netip.Addr // known clients, one each
	Others   []netip.Addr // clients that behave as well, but are on no list
	KnownGap time.Duration
}

// Check holds a flood to the loopback range and to its bounds.
func (o *Options) Check() error {
	target, err := netip.ParseAddrPort(o.Target)
	switch {
	case err != nil || !target.Addr().IsLoopback():
		return fmt.Errorf("the target %q is not a loopback address and port", o.Target)
	case !slices.Contains(Patterns, o.Pattern):
		return fmt.Errorf("the pattern %q is none of %v", o.Pattern, Patterns)
	case o.Tries < 0 || o.Tries > 1e6 || o.AtOnce < 1 || o.AtOnce > 10000 || o.Length <= 0 || o.Length > 10*time.Minute:
		return errors.New("want up to 1,000,000 tries, 1 to 10,000 at once, up to ten minutes")
	case o.Tries > 0 && len(o.Sources) == 0:
		return errors.New("no source address")
	}
	for _, a := range slices.Concat(o.Sources, o.Known, o.Others) {
		if !a.IsLoopback() {
			return fmt.Errorf("the source %v is not a loopback address", a)
		}
	}
	return nil
}

// Fate counts what became of a kind of client.
type Fate struct {
	Tries, Connected, Served, Refused, Closed, Unreached int
	Connect, Answer                                      *hdrhistogram.Histogram `json:"-"` // microseconds, of those served
}

func newFate() *Fate {
	return &Fate{Connect: hdrhistogram.New(1, 60_000_000, 3), Answer: hdrhistogram.New(1, 60_000_000, 3)}
}

// Result of a flood.
type Result struct{ Flood, Known, Others *Fate }

// Run presses on a head until the tries or the time are over.
func Run(o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Length)
	defer cancel()
	res := &Result{Flood: newFate(), Known: newFate(), Others: newFate()}
	var mu sync.Mutex
	var workers, known sync.WaitGroup
	next := 0
	for range min(o.AtOnce, o.Tries) {
		workers.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				n := next
				next++
				mu.Unlock()
				if n >= o.Tries {
					return
				}
				o.press(ctx, o.Sources[n%len(o.Sources)], res.Flood, &mu)
			}
		})
	}
	for _, addr := range o.Known {
		known.Go(func() { o.goOn(ctx, addr, res.Known, &mu) })
	}
	for _, addr := range o.Others {
		known.Go(func() { o.goOn(ctx, addr, res.Others, &mu) })
	}
	if len(o.Known)+len(o.Others) == 0 {
		workers.Wait()
		cancel()
	}
	known.Wait()
	cancel()
	workers.Wait()
	return res, nil
}

// Press runs the flood of some options, without known clients or others, by the
// command with these first arguments, in a process of its own.
func Press(o Options, exe ...string) (*Fate, error) {
	out, err := subprocess.Output(append(slices.Clone(exe), "flood", "--json", "--target", o.Target, "--path", o.Path, "--pattern", o.Pattern,
		"--sources", fmt.Sprint(len(o.Sources)), "--tries", fmt.Sprint(o.Tries), "--at-once", fmt.Sprint(o.AtOnce),
		"--length", o.Length.String(), "--known", "0", "--others", "0")...)
	if err != nil {
		return nil, err
	}
	f := newFate()
	return f, json.Unmarshal(out, f)
}

func (o *Options) dial(ctx context.Context, from netip.Addr) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from.AsSlice()}, Timeout: 5 * time.Second,
		// Ports are chosen by the whole four-tuple, so that thousands fit one address.
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
			})
		}}
	return d.DialContext(ctx, "tcp", o.Target)
}

// press is one connection of the flood.
func (o *Options) press(ctx context.Context, from netip.Addr, f *Fate, mu *sync.Mutex) {
	count := func(n *int) {
		mu.Lock()
		*n++
		mu.Unlock()
	}
	count(&f.Tries)
	c, err := o.dial(ctx, from)
	if err != nil {
		count(&f.Unreached)
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	count(&f.Connected)
	get := "GET " + o.Path + " HTTP/1.1\r\nHost: flood\r\n\r\n"
	drip := func(text string) {
		for i := range len(text) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil || !sleep(ctx, 200*time.Millisecond) {
				return
			}
		}
	}
	switch o.Pattern {
	case "close":
		return
	case "hold":
	case "slow-header":
		go drip(get)
	case "slow-body":
		io.WriteString(c, "PUT "+o.Path+".flood HTTP/1.1\r\nHost: flood\r\nContent-Length: 1000000\r\n\r\n")
		go drip(string(make([]byte, 1000)))
	case "slow-reader":
		c.(*net.TCPConn).SetReadBuffer(4096)
		for range 50 {
			io.WriteString(c, get)
		}
		sleep(ctx, o.Length)
		return
	case "greed":
		for range 100 {
			io.WriteString(c, get)
		}
	case "hoard":
		io.WriteString(c, get)
	}
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			count(&f.Closed)
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == 503 || resp.StatusCode == 408 {
			count(&f.Refused)
			return
		}
		count(&f.Served)
	}
}

// goOn is a known client: a connection, a request, a gap, and so on; each
// connection anew, as a client after a quake does.
func (o *Options) goOn(ctx context.Context, from netip.Addr, f *Fate, mu *sync.Mutex) {
	for ctx.Err() == nil {
		began := time.Now()
		c, err := o.dial(ctx, from)
		if end, _ := ctx.Deadline(); !time.Now().Before(end) { // a dial ends by the deadline before ctx tells of it
			if err == nil {
				c.Close()
			}
			return
		}
		mu.Lock()
		f.Tries++
		if err != nil {
			f.Unreached++
			mu.Unlock()
			sleep(ctx, o.KnownGap)
			continue
		}
		f.Connected++
		f.Connect.RecordValue(time.Since(began).Microseconds())
		mu.Unlock()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		asked := time.Now()
		io.WriteString(c, "GET "+o.Path+" HTTP/1.1\r\nHost: known\r\nConnection: close\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		mu.Lock()
		switch {
		case err != nil:
			f.Closed++
		case resp.StatusCode == 503:
			f.Refused++
		default:
			f.Served++
			f.Answer.RecordValue(time.Since(asked).Microseconds())
		}
		mu.Unlock()
		c.Close()
		sleep(ctx, o.KnownGap)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Write prints a fate.
func (f *Fate) Write(w io.Writer, name string) {
	q := func(h *hdrhistogram.Histogram, x float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(x)) * time.Microsecond
	}
	fmt.Fprintf(w, "%-6s tries %d, connected %d, served %d, refused %d, closed %d, not reached %d", name, f.Tries, f.Connected,
		f.Served, f.Refused, f.Closed, f.Unreached)
	if f.Answer.TotalCount() > 0 {
		fmt.Fprintf(w, "; connect p50 %v p99 %v, answer p50 %v p99 %v", q(f.Connect, 50), q(f.Connect, 99), q(f.Answer, 50), q(f.Answer, 99))
	}
	fmt.Fprintln(w)
}
