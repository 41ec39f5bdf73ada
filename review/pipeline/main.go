// Command pipeline plays case 3: clients send many requests at once on a connection, 12 writes of 2 KiB each,
// and look whether each gets an answer.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"maddergap/review/lab"
)

const (
	clients   = 4
	rounds    = 15
	every     = time.Second // between two rounds of a client
	atOnce    = 12          // requests
	bodyBytes = 2 << 10
	deadline  = 2 * time.Second
	// late is how long after its time an answer may come before its request is lost.
	late = 550 * time.Millisecond
)

// tally counts what was seen. Its mutex guards all fields.
type tally struct {
	mu                            sync.Mutex
	sent, served, refused, failed int
	unanswered, endedByHead       int
	runs                          map[string]int // by id
	lost                          []string       // ids
}

func main() { lab.Run(os.Args[1], play) }

func play(r *lab.Record, trouble bool) int {
	t := &tally{runs: map[string]int{}}
	var core sync.Mutex
	shelf := lab.NewShelf(0, func(c *lab.ShelfConn, a *lab.Attempt) bool {
		core.Lock()
		time.Sleep(4 * time.Millisecond)
		core.Unlock()
		t.mu.Lock()
		t.runs[a.ID]++
		t.mu.Unlock()
		r.Logf("the shelf ran %s", a.ID)
		lab.Answer(c, "made for "+a.ID)
		return true
	})
	agent := lab.NewAgent([]lab.Entry{{Name: "s-5be2a07c", Address: shelf, Zone: "hall-b", Type: "single-fast", Status: lab.Up, Weight: 1}})
	head := lab.StartHead(r, lab.HeadOptions{Name: "n1", Listen: lab.FreeAddr(), Discovery: agent.Addr, MemoryMB: 192, Sockets: 1024,
		Known: agent.List(), Settings: lab.Settings([]lab.Object{
			lab.Class("trace-read", "retryable", 150*time.Millisecond, 1200*time.Millisecond, 5*time.Second),
			lab.Class("segment-write", "fragile", 300*time.Millisecond, deadline, 5*time.Second),
		}, []bool{false, true}, 1)})
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			time.Sleep(every / clients * time.Duration(i))
			for n := range rounds {
				begun := time.Now()
				round(r, t, head.Addr, i, n, trouble)
				time.Sleep(time.Until(begun.Add(every)))
			}
		})
	}
	all.Wait()
	head.Signal(syscall.SIGTERM)
	<-head.Done()
	neverRun := 0
	for _, id := range t.lost {
		if t.runs[id] == 0 {
			neverRun++
		}
	}
	summary := fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d without an answer. Of these, the head ended the connection of %d itself, in order; %d reached no shelf.",
		t.sent, t.served, t.refused, t.failed, t.unanswered, t.endedByHead, neverRun)
	r.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case t.served == 0:
		return lab.CouldNotRun
	case t.endedByHead > 0:
		return lab.RuleBroken
	}
	return lab.RuleHeld
}

// round sends the requests of a round on a new connection: at once or, without trouble, each after the answer to the
// one before. A connection that the head ends after an answer is opened anew for the requests that were not sent.
func round(r *lab.Record, t *tally, addr string, client, n int, trouble bool) {
	var requests []lab.Request
	for k := range atOnce {
		requests = append(requests, lab.Request{ID: fmt.Sprintf("%04x%04x%08x", client+1, n+1, k+1), Class: "segment-write", Plan: "priority",
			Piece: fmt.Sprintf("%016x", rand.Uint64()), Volume: fmt.Sprintf("%016x", client+1), Units: 1, Hosts: 1, Remaining: deadline,
			Write: true, Body: make([]byte, bodyBytes)})
	}
	var c *lab.Client
	for len(requests) > 0 {
		if c == nil {
			var err error
			c, err = lab.Dial(addr)
			lab.Check(err)
		}
		batch := requests
		if !trouble {
			batch = requests[:1]
		}
		requests = requests[len(batch):]
		if exchange(r, t, c, batch) {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// exchange sends requests at once and reads their answers. It reports whether the connection is over.
func exchange(r *lab.Record, t *tally, c *lab.Client, batch []lab.Request) (over bool) {
	var out []byte
	for i := range batch {
		out = append(out, batch[i].Bytes()...)
	}
	_, err := c.Write(out)
	lab.Check(err)
	sent := time.Now()
	r.Logf("%s: %d requests from %s to %s are sent at once, %d bytes", c.LocalAddr(), len(batch), batch[0].ID, batch[len(batch)-1].ID, len(out))
	for i := range batch {
		status, _, closing, err := c.Read(sent.Add(deadline + late))
		if err != nil {
			// A reset may be the network's; an end in order is the head's own.
			inOrder := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
			if inOrder {
				c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				_, err := c.In.ReadByte()
				inOrder = errors.Is(err, io.EOF)
			}
			r.Logf("%s: the connection ended after %.3f s, in order: %v (%v)", c.LocalAddr(), time.Since(sent).Seconds(), inOrder, err)
			t.mu.Lock()
			defer t.mu.Unlock()
			for _, q := range batch[i:] {
				r.Logf("BROKEN: %s has no answer", q.ID)
				t.sent++
				t.unanswered++
				t.lost = append(t.lost, q.ID)
				if inOrder {
					t.endedByHead++
				}
			}
			return true
		}
		r.Logf("%s: %s is answered %d after %.3f s", c.LocalAddr(), batch[i].ID, status, time.Since(sent).Seconds())
		t.mu.Lock()
		t.sent++
		switch status {
		case 200:
			t.served++
		case 429, 503:
			t.refused++
		default:
			t.failed++
		}
		t.mu.Unlock()
		over = over || closing
	}
	return over
}
