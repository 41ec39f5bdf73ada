// Command foreign plays case 1: shelfs send some answers twice, the second copy a millisecond late and
// only while nothing else waits on the connection. Clients look whether the answer that they get is the
// one that a shelf made for their request.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"maddergap/review/lab"
)

const (
	shelfs   = 2
	clients  = 12
	pause    = 300 * time.Millisecond // longest pause of a client between an answer and its next request
	length   = 40 * time.Second
	oneWay   = time.Millisecond // from head to shelf and back; the pages say 0.7 to 1.3 ms between halls
	copyLate = time.Millisecond // the pages say some milliseconds
	copies   = 0.05             // share of the answers of status 200 that come twice
	full     = 0.03             // share of the requests that find the queue of their shelf full
)

// tally counts what was seen. Its mutex guards all fields.
type tally struct {
	mu                             sync.Mutex
	right, foreign, refused, other int
	copied                         int
	runs                           map[string]int // by id
	writesServed                   map[string]bool
	isWrite                        map[string]bool
}

func main() { lab.Run(os.Args[1], play) }

func play(r *lab.Record, trouble bool) int {
	t := &tally{runs: map[string]int{}, writesServed: map[string]bool{}, isWrite: map[string]bool{}}
	var entries []lab.Entry
	for i := range shelfs {
		name := fmt.Sprintf("s-%08x", i+1)
		shelf := lab.NewShelf(i, serve(r, t, name, trouble))
		entries = append(entries, lab.Entry{Name: name, Address: lab.NewLink(shelf, oneWay), Zone: "hall-b", Type: "single-fast",
			Group: i, Status: lab.Up, Weight: 1})
	}
	agent := lab.NewAgent(entries)
	head := lab.StartHead(r, lab.HeadOptions{Name: "n1", Listen: lab.FreeAddr(), Discovery: agent.Addr, MemoryMB: 192, Sockets: 1024,
		Known: agent.List(), Settings: lab.Settings([]lab.Object{
			lab.Class("trace-read", "retryable", 150*time.Millisecond, 1200*time.Millisecond, 5*time.Second),
			lab.Class("segment-write", "fragile", 300*time.Millisecond, 2*time.Second, 5*time.Second),
		}, []bool{false, true}, shelfs)})
	var all sync.WaitGroup
	until := time.Now().Add(length)
	for i := range clients {
		all.Go(func() { client(r, t, head.Addr, i, until) })
	}
	all.Wait()
	head.Signal(syscall.SIGTERM)
	<-head.Done()
	twice, unrun := 0, 0
	for id := range t.isWrite {
		if t.runs[id] > 1 {
			twice++
			r.Logf("the write %s must never run twice and ran %d times", id, t.runs[id])
		}
		if t.writesServed[id] && t.runs[id] == 0 {
			unrun++
			r.Logf("the write %s was answered 200 and no shelf ran it", id)
		}
	}
	summary := fmt.Sprintf("shelfs sent %d answers twice. Clients got %d answers made for their request, %d made for another one, %d refusals, %d other ends. "+
		"%d writes ran twice, %d writes answered 200 never ran.", t.copied, t.right, t.foreign, t.refused, t.other, twice, unrun)
	r.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case t.right < 100 || trouble && t.copied == 0:
		return lab.CouldNotRun
	case t.foreign > 0:
		return lab.RuleBroken
	}
	return lab.RuleHeld
}

// serve returns what a shelf does: it works on one request at a time, in turn of arrival, and answers.
func serve(r *lab.Record, t *tally, name string, trouble bool) lab.Handler {
	var core sync.Mutex
	return func(c *lab.ShelfConn, a *lab.Attempt) bool {
		if rand.Float64() < full {
			r.Logf("%s turns %s away unrun, connection %s", name, a.ID, c.RemoteAddr())
			lab.TurnAway(c)
			return true
		}
		core.Lock()
		work := 15 + rand.IntN(10)
		if a.Write {
			work = 25 + rand.IntN(16)
		}
		time.Sleep(time.Duration(work) * time.Millisecond)
		core.Unlock()
		t.mu.Lock()
		t.runs[a.ID]++
		t.mu.Unlock()
		r.Logf("%s ran %s and answers, connection %s", name, a.ID, c.RemoteAddr())
		lab.Answer(c, made(a.ID))
		if !trouble || rand.Float64() >= copies {
			return true
		}
		c.SetReadDeadline(time.Now().Add(copyLate))
		_, err := c.In.Peek(1)
		c.SetReadDeadline(time.Time{})
		if err == nil {
			return true // another request waits on the connection: no second copy
		}
		t.mu.Lock()
		t.copied++
		t.mu.Unlock()
		r.Logf("%s sends the answer to %s a second time, connection %s", name, a.ID, c.RemoteAddr())
		lab.Answer(c, made(a.ID))
		return true
	}
}

// made returns the body of the answer to a request.
func made(id string) string { return "made for " + id }

// client sends one request at a time until a time.
func client(r *lab.Record, t *tally, addr string, i int, until time.Time) {
	var c *lab.Client
	for n := 0; time.Now().Before(until); n++ {
		if c == nil {
			var err error
			c, err = lab.Dial(addr)
			lab.Check(err)
		}
		q := lab.Request{ID: fmt.Sprintf("%08x%08x", i+1, n+1), Class: "trace-read", Plan: "priority",
			Piece: fmt.Sprintf("%016x", rand.Uint64()), Volume: fmt.Sprintf("%016x", i+1), Units: 1 + rand.IntN(3),
			Shard: i % shelfs, Hosts: 1, Remaining: 1200 * time.Millisecond}
		if n%3 == 2 {
			q.Class, q.Write, q.Remaining, q.Body = "segment-write", true, 2*time.Second, []byte("data of "+q.ID)
		}
		r.Logf("client %d sends %s %s", i, q.Class, q.ID)
		c.Write(q.Bytes())
		status, body, closing, err := c.Read(time.Now().Add(q.Remaining + time.Second))
		r.Logf("client %d: %s %s is answered %d %q %v", i, q.Class, q.ID, status, strings.TrimSpace(body), err)
		t.count(r, &q, status, body, err)
		if closing || err != nil {
			c.Close()
			c = nil
		}
		time.Sleep(rand.N(pause))
	}
}

// count judges the answer to a request.
func (t *tally) count(r *lab.Record, q *lab.Request, status int, body string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isWrite[q.ID] = q.Write
	if !q.Write {
		delete(t.isWrite, q.ID)
	}
	switch {
	case err == nil && status == 200 && body == made(q.ID):
		t.right++
	case err == nil && status == 200:
		t.foreign++
		r.Logf("BROKEN: the answer to %s is %q", q.ID, body)
	case err == nil && (status == 503 || status == 429):
		t.refused++
	default:
		t.other++
	}
	t.writesServed[q.ID] = q.Write && status == 200
}
