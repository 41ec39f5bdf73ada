// Package lab has what the review's cases share: a record of what happened, a head started with
// the command of the deploy file, and stand-ins for discovery, shelfs and clients. Every address
// is a loopback address.
package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	RuleHeld    = 0
	RuleBroken  = 1
	CouldNotRun = 2
)

// runLimit is the longest run of a case.
const runLimit = 115 * time.Second

// reapTime is how long the end of a killed head is waited for.
const reapTime = 3 * time.Second

// Record is the record of a run, written to record.txt. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// Logf writes a line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Run runs a case with the record in dir/record.txt and exits with the code that it returns. trouble
// is false if the environment has TROUBLE=0.
func Run(dir string, body func(r *Record, trouble bool) int) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNotRun)
	}
	r := &Record{file: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.Logf("begins at %s, trouble: %v", r.started.UTC().Format(time.RFC3339), trouble)
	time.AfterFunc(runLimit, func() { fail("the time of the run is over") })
	signal.Ignore(syscall.SIGPIPE) // else a closed standard output would end the program before its heads
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { fail(fmt.Sprint("stopped by ", <-stops)) }()
	code := body(r, trouble)
	killAll()
	text := [...]string{"the rule held", "the rule was broken", "could not run"}[code]
	r.Logf("result: %s", text)
	fmt.Println(text)
	os.Exit(code)
}

// Check ends the run as one that could not run if err is not nil.
func Check(err error) {
	if err != nil {
		fail(err.Error())
	}
}

// fail ends the heads, and then the program.
func fail(reason string) {
	killAll()
	fmt.Fprintln(os.Stderr, "could not run:", reason)
	os.Exit(CouldNotRun)
}

// started holds the heads that were started.
var started struct {
	mu    sync.Mutex
	heads []*Head
}

// killAll kills the heads that still run, and waits until all are reaped.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, h := range started.heads {
		h.cmd.Process.Kill() // no effect on one that was waited for
	}
	for _, h := range started.heads {
		select {
		case <-h.done:
		case <-time.After(reapTime):
		}
	}
}

// FreeAddr returns a loopback address with a port that is free now.
func FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	defer l.Close()
	return l.Addr().String()
}

// Object is a JSON object.
type Object = map[string]any

// HeadOptions describes a head.
type HeadOptions struct {
	Name      string
	Listen    string
	Discovery string
	MemoryMB  float64
	Sockets   int
	Known     Object
	Settings  Object
}

// Head is a head that was started.
type Head struct {
	Addr string
	cmd  *exec.Cmd
	done chan struct{}
}

// runLine finds the command of a head in the deploy file.
var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// StartHead starts a head with the command `run` of the deploy file and waits until it is ready.
func StartHead(r *Record, o HeadOptions) *Head {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	Check(err)
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		fail("the deploy file has no run")
	}
	command := string(match[1])
	dir, err := os.MkdirTemp("", "review")
	Check(err)
	config, err := json.Marshal(Object{
		"name": o.Name, "listen": o.Listen, "discovery": o.Discovery,
		"seed":   fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": Object{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": o.Sockets},
		"known":  o.Known, "settings": o.Settings,
	})
	Check(err)
	path := filepath.Join(dir, "config.json")
	Check(os.WriteFile(path, config, 0o600))
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME="+o.Name, "ROUTER_LISTEN="+o.Listen,
		"ROUTER_DISCOVERY="+o.Discovery, "TMPDIR="+dir)
	h := &Head{Addr: o.Listen, cmd: cmd, done: make(chan struct{})}
	started.mu.Lock()
	err = cmd.Start()
	if err == nil {
		started.heads = append(started.heads, h)
	}
	started.mu.Unlock()
	Check(err)
	go func() {
		err := cmd.Wait()
		r.Logf("head %s (process %d) ended: %v", o.Name, cmd.Process.Pid, err)
		os.RemoveAll(dir)
		close(h.done)
	}()
	for begun := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > 30*time.Second {
			fail("the head is not ready after 30 s")
		}
		select {
		case <-h.done:
			fail("the head ended before it was ready")
		default:
		}
		response, err := http.Get("http://" + o.Listen + "/-/ready")
		if err != nil {
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == 200 {
			break
		}
	}
	http.DefaultClient.CloseIdleConnections()
	r.Logf("head %s (process %d, command %q) is ready on %s", o.Name, cmd.Process.Pid, command, o.Listen)
	return h
}

// Signal sends a signal to the head.
func (h *Head) Signal(s syscall.Signal) { Check(h.cmd.Process.Signal(s)) }

// Done returns a channel that is closed once the head has ended.
func (h *Head) Done() <-chan struct{} { return h.done }

// Request is a client's request.
type Request struct {
	ID, Class, Plan, Piece, Volume string
	Units, Shard, Hosts            int
	Remaining                      time.Duration
	Write                          bool
	Body                           []byte
}

// Bytes returns the request as a client writes it.
func (q *Request) Bytes() []byte {
	var b bytes.Buffer
	method := "GET"
	if q.Write {
		method = "PUT"
	}
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: %s\r\nTier: %s\r\nPiece: %s\r\n",
		method, q.ID, q.Class, q.Plan, q.Piece)
	fmt.Fprintf(&b, "X-Remaining: %dm\r\n", q.Remaining.Milliseconds())
	if q.Write {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	fmt.Fprintf(&b, "IO-Info: volume=%s,units=%d,shard=%d,hosts=%d\r\n\r\n", q.Volume, q.Units, q.Shard, q.Hosts)
	b.Write(q.Body)
	return b.Bytes()
}
