// Command stop plays case 3: a head is told to end while clients write their requests slowly. They look whether
// a request whose last byte came before the head ended gets an answer.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"maddergap/review/lab"
)

const (
	shelfs    = 4
	rounds    = 5                       // restarts of a head
	writers   = 100                     // clients that write slowly, in a round
	begin     = 100 * time.Millisecond  // from SIGTERM to the first byte; new connections come for 200 ms at least
	firstEnd  = 2000 * time.Millisecond // from SIGTERM to the last byte of the first writer
	between   = 12 * time.Millisecond   // between the last bytes of two writers
	pieces    = 10                      // of a request
	bodyBytes = 2 << 10
	deadline  = 2 * time.Second         // of a write
	longest   = 2500 * time.Millisecond // longest deadline of a class
	kill      = longest + 700*time.Millisecond
	// margin is how long before the end of its connection the last byte of a request has to be written for
	// the request to count as taken.
	margin = 5 * time.Millisecond
	// late is how long after its time an answer may come before its request is lost.
	late = 550 * time.Millisecond
)

// shelfLog holds the requests that came whole to a shelf. Its mutex guards the map.
type shelfLog struct {
	mu  sync.Mutex
	ran map[string]bool
}

// tally counts the writers of all rounds. Its mutex guards all fields.
type tally struct {
	mu                                   sync.Mutex
	answered, notTaken, lost, lostButRan int
}

func main() { lab.Run(os.Args[1], play) }

func play(r *lab.Record, trouble bool) int {
	log := &shelfLog{ran: map[string]bool{}}
	var entries []lab.Entry
	for i := range shelfs {
		name := fmt.Sprintf("s-%08x", i+1)
		entries = append(entries, lab.Entry{Name: name, Address: lab.NewShelf(i, log.serve(r, name)), Zone: "hall-b", Type: "single-fast",
			Group: i, Status: lab.Up, Weight: 1})
	}
	agent := lab.NewAgent(entries)
	listen := lab.FreeAddr()
	t := &tally{}
	for n := range rounds {
		head := lab.StartHead(r, lab.HeadOptions{Name: "n1", Listen: listen, Discovery: agent.Addr, MemoryMB: 192, Sockets: 1024,
			Known: agent.List(), Settings: lab.Settings([]lab.Object{
				lab.Class("trace-read", "retryable", 150*time.Millisecond, 1200*time.Millisecond, 5*time.Second),
				lab.Class("segment-write", "fragile", 300*time.Millisecond, deadline, 5*time.Second),
				lab.Class("archive-export", "retryable", 750*time.Millisecond, longest, 5*time.Second),
			}, []bool{false, true, false}, shelfs)})
		term := time.Now().Add(200 * time.Millisecond)
		var all sync.WaitGroup
		for i := range writers {
			all.Go(func() { t.write(r, log, listen, fmt.Sprintf("%08x%08x", n+1, i+1), i, term) })
		}
		time.Sleep(time.Until(term))
		if trouble {
			r.Logf("SIGTERM")
			head.Signal(syscall.SIGTERM)
			killer := time.AfterFunc(kill, func() {
				r.Logf("SIGKILL")
				head.Signal(syscall.SIGKILL)
			})
			<-head.Done()
			killer.Stop()
		}
		all.Wait()
		if !trouble {
			head.Signal(syscall.SIGTERM)
			<-head.Done()
		}
	}
	summary := fmt.Sprintf("%d writes: %d answered, %d not written whole before their connection ended, %d taken and without an answer; %d of these came whole to a shelf",
		rounds*writers, t.answered, t.notTaken, t.lost, t.lostButRan)
	r.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case t.answered == 0:
		return lab.CouldNotRun
	case t.lost > 0:
		return lab.RuleBroken
	}
	return lab.RuleHeld
}

// serve returns what a shelf does: it works on one request at a time and answers.
func (l *shelfLog) serve(r *lab.Record, name string) lab.Handler {
	var core sync.Mutex
	return func(c *lab.ShelfConn, a *lab.Attempt) bool {
		l.mu.Lock()
		l.ran[a.ID] = true
		l.mu.Unlock()
		r.Logf("%s got %s whole", name, a.ID)
		core.Lock()
		time.Sleep(time.Duration(25+rand.IntN(16)) * time.Millisecond)
		core.Unlock()
		r.Logf("%s ran %s and answers", name, a.ID)
		lab.Answer(c, "made for "+a.ID)
		return true
	}
}

// write writes a request in pieces and waits for its answer.
func (t *tally) write(r *lab.Record, log *shelfLog, addr, id string, i int, term time.Time) {
	begun, end := term.Add(begin), term.Add(firstEnd+time.Duration(i)*between)
	time.Sleep(time.Until(begun))
	c, err := lab.Dial(addr)
	lab.Check(err)
	defer c.Close()
	q := lab.Request{ID: id, Class: "segment-write", Plan: "priority", Piece: fmt.Sprintf("%016x", rand.Uint64()),
		Volume: fmt.Sprintf("%016x", i%16+1), Units: 1, Shard: i % shelfs, Hosts: 1, Remaining: deadline, Write: true, Body: make([]byte, bodyBytes)}
	out := q.Bytes()
	r.Logf("%s: begins to send, %d bytes in %d pieces", id, len(out), pieces)
	for p := range pieces {
		time.Sleep(time.Until(begun.Add(end.Sub(begun) * time.Duration(p) / (pieces - 1))))
		if _, err = c.Write(out[len(out)*p/pieces : len(out)*(p+1)/pieces]); err != nil {
			break
		}
	}
	written := time.Now()
	status, _, _, readErr := c.Read(written.Add(deadline + late))
	over := time.Now()
	taken := err == nil && over.Sub(written) >= margin
	r.Logf("%s: last byte %.3f s after SIGTERM (%v), answer %d (%v) at %.3f s", id, written.Sub(term).Seconds(), err, status, readErr, over.Sub(term).Seconds())
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case readErr == nil:
		t.answered++
	case !taken:
		t.notTaken++
	default:
		t.lost++
		log.mu.Lock()
		ran := log.ran[id]
		log.mu.Unlock()
		if ran {
			t.lostButRan++
		}
		r.Logf("BROKEN: %s has no answer; it came whole to a shelf: %v", id, ran)
	}
}
