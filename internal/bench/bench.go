// Package bench measures a head against net/http/httputil.ReverseProxy before
// the same stand-in, in turns of one run on one machine, each as a process of
// its own so that its CPU time can be told. Figures are ratios.
package bench

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"maddergap/internal/fakenode"
	"maddergap/internal/nodelist"
	"maddergap/internal/subprocess"
)

// Options of a measurement.
type Options struct {
	Exe     string
	Dir     string
	Clients int
	Turn    time.Duration // of one measurement
	Turns   int
	Size    int // bytes of an answer
	Out     io.Writer
}

// Proxy is what the head is measured against: it serves until it is ended.
func Proxy(listen, target string) error {
	u, err := url.Parse("http://" + target)
	if err != nil {
		return err
	}
	p := httputil.NewSingleHostReverseProxy(u)
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 256}
	return http.ListenAndServe(listen, p)
}

// Sample is one measurement.
type Sample struct {
	Requests int64
	Refused  int64         // 503, which only overload expects
	CPU      time.Duration // of the process measured
	Wall     time.Duration
	Peak     int64 // resident bytes, at the most
	Hist     *hdrhistogram.Histogram
}

// PerCPU is requests a second of CPU time.
func (s Sample) PerCPU() float64 { return float64(s.Requests) / s.CPU.Seconds() }

// process is one that is measured.
type process struct {
	*subprocess.Process
	addr string
}

func start(addr string, argv ...string) (*process, error) {
	p, err := subprocess.Start(addr, nil, argv...)
	return &process{p, addr}, err
}

// cpu reads the process's user and system time.
func (p *process) cpu() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond, errors.Join(err1, err2) // ticks of 1/100 s
}

// memory reads a line of the process's status, in bytes.
func (p *process) memory(what string) int64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	for l := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(l, what+":"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

// load sends requests from kept-alive clients for a time.
func (p *process) load(clients int, d time.Duration, request func(client, n int) string) (Sample, error) {
	s := Sample{Hist: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	errs := make(chan error, clients)
	before, err := p.cpu()
	if err != nil {
		return s, err
	}
	began := time.Now()
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := hdrhistogram.New(1, 60_000_000, 3)
			n, refused, err := one(p.addr, began.Add(d), h, func(n int) string { return request(i, n) })
			if err != nil {
				errs <- err
			}
			mu.Lock()
			defer mu.Unlock()
			s.Requests += n
			s.Refused += refused
			s.Hist.Merge(h)
		}()
	}
	wg.Wait()
	s.Wall = time.Since(began)
	after, err := p.cpu()
	s.CPU, s.Peak = after-before, p.memory("VmHWM")
	select {
	case e := <-errs:
		err = errors.Join(err, e)
	default:
	}
	return s, err
}

// one client, one connection.
func one(addr string, until time.Time, h *hdrhistogram.Histogram, request func(int) string) (n, refused int64, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	r := bufio.NewReaderSize(c, 16<<10)
	for time.Now().Before(until) {
		began := time.Now()
		if _, err := io.WriteString(c, request(int(n+refused))); err != nil {
			return n, refused, err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return n, refused, err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return n, refused, err
		}
		if resp.StatusCode == 503 {
			refused++
			continue
		}
		if resp.StatusCode != 200 {
			return n, refused, fmt.Errorf("answer %s", resp.Status)
		}
		h.RecordValue(time.Since(began).Microseconds())
		n++
	}
	return n, refused, nil
}

// head starts a head without limits that would be measured instead.
func (o *Options) head(shards int) (*process, error) {
	text := fmt.Sprintf(`listen %s
nodes nodes.list
log-requests no
class read effect safe aim 500ms deadline 10s worth 1 late 0.5
class write effect unsafe aim 500ms deadline 60s worth 1 late 0.5
plan p rate 1000000 reserve 1000000
volume feed plan p shards 0-%d
units bytes 64k mean 1 most 32768
route PUT class write
route * class read
stall-time 30s
`, headAddr, shards-1)
	file := filepath.Join(o.Dir, "head.conf")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	return start(headAddr, o.Exe, "serve", "--config", file)
}

// nodes starts stand-ins with objects in them.
func (o *Options) nodes(n int) ([]*fakenode.Node, error) {
	var out []*fakenode.Node
	var list []nodelist.Node
	for i := range n {
		s, err := fakenode.Start(fakenode.Options{Listen: "127.0.0.1:0", Name: fmt.Sprint("n", i), Cores: 64, QueueLimit: 4096, DiscardRecord: true})
		if err != nil {
			return out, err
		}
		out = append(out, s)
		list = append(list, nodelist.Node{Name: fmt.Sprint("n", i), Addr: s.Addr(), Shard: i})
	}
	return out, nodelist.Replace(filepath.Join(o.Dir, "nodes.list"), list)
}

func (o *Options) put(addr string, paths ...string) error {
	for _, p := range paths {
		req, _ := http.NewRequest("PUT", "http://"+addr+p, strings.NewReader(strings.Repeat("x", o.Size)))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		resp.Body.Close()
		if resp.StatusCode > 299 {
			return fmt.Errorf("PUT %s: %s", p, resp.Status)
		}
	}
	return nil
}

const (
	headAddr  = "127.0.98.1:18000"
	proxyAddr = "127.0.98.2:18000"
)

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// pair starts a head and a proxy before the same node, which has /feed/x.
func (o *Options) pair() (head, proxy *process, end func(), err error) {
	var ends []func()
	end = func() {
		for _, f := range ends {
			f()
		}
	}
	defer func() {
		if err != nil {
			end()
		}
	}()
	nodes, err := o.nodes(1)
	for _, n := range nodes {
		ends = append(ends, func() { n.Close() })
	}
	if err != nil {
		return nil, nil, nil, err
	}
	if head, err = o.head(1); err != nil {
		return nil, nil, nil, err
	}
	ends = append(ends, head.Kill)
	if proxy, err = start(proxyAddr, o.Exe, "bench", "--proxy", proxyAddr, "--target", nodes[0].Addr()); err != nil {
		return nil, nil, nil, err
	}
	ends = append(ends, proxy.Kill)
	return head, proxy, end, o.put(nodes[0].Addr(), "/feed/x")
}

// Small measures small GETs, turn by turn.
func (o *Options) Small() error {
	head, proxy, end, err := o.pair()
	if err != nil {
		return err
	}
	defer end()
	all := map[*process]*hdrhistogram.Histogram{head: hdrhistogram.New(1, 60_000_000, 3), proxy: hdrhistogram.New(1, 60_000_000, 3)}
	var ratios []float64
	fmt.Fprintf(o.Out, "small GETs of %d bytes, %d kept-alive clients, turns of %v\n", o.Size, o.Clients, o.Turn)
	for turn := range o.Turns + 1 {
		var per [2]float64
		for i, p := range []*process{head, proxy} {
			s, err := p.load(o.Clients, o.Turn, func(int, int) string { return get("/feed/x") })
			if err == nil && s.Refused > 0 {
				err = fmt.Errorf("%d requests were refused", s.Refused)
			}
			if err != nil {
				return err
			}
			if turn == 0 { // a warm-up
				continue
			}
			per[i] = s.PerCPU()
			all[p].Merge(s.Hist)
			fmt.Fprintf(o.Out, "  %-5s %6.0f a CPU second, %6.0f a second, p50 %v p99 %v\n", []string{"head", "proxy"}[i], s.PerCPU(),
				float64(s.Requests)/s.Wall.Seconds(), us(s.Hist, 50), us(s.Hist, 99))
		}
		if turn > 0 {
			ratios = append(ratios, per[0]/per[1])
		}
	}
	fmt.Fprintf(o.Out, "requests a CPU second, head over proxy: %s\n", formatRatios(ratios))
	fmt.Fprintf(o.Out, "over all turns: head p50 %v p99 %v, proxy p50 %v p99 %v\n", us(all[head], 50), us(all[head], 99), us(all[proxy], 50), us(all[proxy], 99))
	head.Kill() // what it holds by now would hide what idle connections cost
	fresh, err := o.head(1)
	if err != nil {
		return err
	}
	defer fresh.Kill()
	return o.idle(fresh)
}

func formatRatios(r []float64) string {
	low, high, sum := r[0], r[0], 0.0
	for _, x := range r {
		low, high, sum = min(low, x), max(high, x), sum+x
	}
	return fmt.Sprintf("mean %.2f (%.2f to %.2f over %d turns)", sum/float64(len(r)), low, high, len(r))
}

func us(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// idle measures what an idle client connection costs in resident memory.
func (o *Options) idle(head *process) error {
	const many = 8000
	before := head.memory("VmRSS")
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range many {
		c, err := net.Dial("tcp", headAddr)
		if err != nil {
			return err
		}
		conns = append(conns, c)
		if _, err := io.WriteString(c, get("/feed/x")); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		io.Copy(io.Discard, resp.Body)
	}
	time.Sleep(200 * time.Millisecond)
	fmt.Fprintf(o.Out, "an idle client connection costs %d bytes (%d of them, resident memory of the process)\n",
		(head.memory("VmRSS")-before)/many, many)
	return nil
}

// Nodes measures CPU a request with few and many nodes.
func (o *Options) Nodes(few, many int) error {
	var per []float64
	for _, n := range []int{few, many} {
		nodes, err := o.nodes(n)
		if err == nil {
			err = func() error {
				head, err := o.head(n)
				if err != nil {
					return err
				}
				defer head.Kill()
				var paths []string
				for i := range 4 * many {
					paths = append(paths, fmt.Sprintf("/feed/s%d", i))
				}
				if err := o.put(headAddr, paths...); err != nil {
					return err
				}
				best := 0.0
				for turn := range o.Turns + 1 {
					s, err := head.load(o.Clients, o.Turn, func(c, k int) string { return get(paths[(c*31+k)%len(paths)]) })
					if err != nil {
						return err
					}
					if turn > 0 {
						best = max(best, s.PerCPU())
					}
				}
				per = append(per, best)
				fmt.Fprintf(o.Out, "%d nodes: %.1f us of CPU a request\n", n, 1e6/best)
				return nil
			}()
		}
		for _, s := range nodes {
			s.Close()
		}
		if err != nil {
			return err
		}
	}
	fmt.Fprintf(o.Out, "CPU a request, %d nodes over %d: %.2f\n", many, few, per[0]/per[1])
	return nil
}

// Stream sends and fetches one large object and tells the head's peak memory.
func (o *Options) Stream(size int64) error {
	sink, err := newSink()
	if err != nil {
		return err
	}
	defer sink.Close()
	if err := nodelist.Replace(filepath.Join(o.Dir, "nodes.list"), []nodelist.Node{{Name: "sink", Addr: sink.Addr().String()}}); err != nil {
		return err
	}
	head, err := o.head(1)
	if err != nil {
		return err
	}
	defer head.Kill()
	before := head.memory("VmHWM")
	for _, method := range []string{"PUT", "GET"} {
		began := time.Now()
		var body io.Reader
		path := "/feed/" + strconv.FormatInt(size, 10)
		if method == "PUT" {
			body = io.LimitReader(zeros{}, size)
		}
		req, _ := http.NewRequest(method, "http://"+headAddr+path, body)
		if body != nil {
			req.ContentLength = size
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil || resp.StatusCode > 299 || (method == "GET" && n != size) {
			return fmt.Errorf("%s of %d bytes: %s, %d bytes back, %v", method, size, resp.Status, n, err)
		}
		fmt.Fprintf(o.Out, "%s of %d MiB: %v, peak of the head %.1f MiB (%.1f before)\n", method, size>>20,
			time.Since(began).Round(time.Millisecond), float64(head.memory("VmHWM"))/(1<<20), float64(before)/(1<<20))
	}
	return nil
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// newSink is a node that drops what is put and gives as many bytes as the path says.
func newSink() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "PUT" {
			io.Copy(io.Discard, r.Body)
			w.WriteHeader(201)
			return
		}
		size, _ := strconv.ParseInt(filepath.Base(r.URL.Path), 10, 64)
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		io.Copy(w, io.LimitReader(zeros{}, size))
	}))
	return ln, nil
}
