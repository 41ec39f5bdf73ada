// Command window plays case 2: the network between a head and a shelf is cut for 1.2 s just after the shelf
// has run a keyed write and answered it with an error. The head sends the write again within the window for
// repeats; the network delivers it after the window.
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
	window   = 600 * time.Millisecond // for which the shelfs remember a keyed request
	deadline = 2 * time.Second        // of a keyed write
	cutFor   = 1200 * time.Millisecond
	writes   = 6
	every    = 4 * time.Second // between two writes that fail
	// slack is what the pages allow beyond each limit (50 ms) and for a head that is held up (150 ms).
	slack = 200 * time.Millisecond
)

// shelf is a stand-in for a shelf that remembers keyed writes for the window.
type shelf struct {
	r       *lab.Record
	trouble bool
	way     *lab.Cut

	mu       sync.Mutex
	first    map[string]time.Time // when the first attempt of a write came
	runs     map[string]int
	late     int // repeats that came after the window, and so ran a second time
	repeated int // repeats in all
}

func main() { lab.Run(os.Args[1], play) }

func play(r *lab.Record, trouble bool) int {
	s := &shelf{r: r, trouble: trouble, first: map[string]time.Time{}, runs: map[string]int{}}
	s.way = lab.NewCut(lab.NewShelf(0, s.serve))
	agent := lab.NewAgent([]lab.Entry{{Name: "s-5be2a07c", Address: s.way.Addr, Zone: "hall-b", Type: "single-fast", Status: lab.Up, Weight: 1}})
	head := lab.StartHead(r, lab.HeadOptions{Name: "n1", Listen: lab.FreeAddr(), Discovery: agent.Addr, MemoryMB: 192, Sockets: 1024,
		Known: agent.List(), Settings: lab.Settings([]lab.Object{
			lab.Class("trace-read", "retryable", 150*time.Millisecond, 1200*time.Millisecond, 5*time.Second),
			lab.Class("segment-write", "dedup", 300*time.Millisecond, deadline, window),
		}, []bool{false, true}, 1)})
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for i := range 3 {
		readers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
					send(r, head.Addr, fmt.Sprintf("%08x%08x", i+1, n), false)
				}
			}
		})
	}
	time.Sleep(6 * time.Second) // a head sends nothing twice within its first 5 s (countedOver)
	served := 0
	for n := range writes {
		if send(r, head.Addr, fmt.Sprintf("%08x%08x", 0xfa11, n), true) == 200 {
			served++
		}
		time.Sleep(every)
	}
	close(stop)
	readers.Wait()
	head.Signal(syscall.SIGTERM)
	<-head.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	summary := fmt.Sprintf("%d keyed writes, %d answered 200, %d sent again, %d of them came after the window and ran a second time", writes, served, s.repeated, s.late)
	r.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case s.repeated == 0:
		return lab.CouldNotRun
	case s.late > 0:
		return lab.RuleBroken
	}
	return lab.RuleHeld
}

// serve runs an attempt. A keyed write that the shelf remembers is answered and not run again. The first attempt
// of a write is run and then answered with an error, as the pages allow.
func (s *shelf) serve(c *lab.ShelfConn, a *lab.Attempt) bool {
	if !a.Write {
		time.Sleep(15 * time.Millisecond)
		lab.Answer(c, "made for "+a.ID)
		return true
	}
	s.mu.Lock()
	first, again := s.first[a.ID]
	if !again {
		first = a.At
		s.first[a.ID] = first
	}
	after := a.At.Sub(first)
	run := !again || after > window
	if run {
		s.runs[a.ID]++
	}
	if again {
		s.repeated++
		if after > window+slack {
			s.late++
		}
	}
	runs := s.runs[a.ID]
	s.mu.Unlock()
	s.r.Logf("the shelf got %s whole, %.3f s after its first attempt, told X-Remaining %s, connection %s; it runs: %v, runs so far: %d",
		a.ID, after.Seconds(), a.Remaining, c.RemoteAddr(), run, runs)
	time.Sleep(25 * time.Millisecond)
	if again {
		lab.Answer(c, "made for "+a.ID)
		return true
	}
	fmt.Fprint(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	s.r.Logf("the shelf answered %s with 500", a.ID)
	if s.trouble {
		time.Sleep(4 * time.Millisecond) // the answer passes
		s.way.Set(true)
		s.r.Logf("the network is cut")
		time.AfterFunc(cutFor, func() {
			s.r.Logf("the network is mended")
			s.way.Set(false)
		})
	}
	return true
}

// send sends a request on a connection of its own and returns the status of the answer, 0 if there was none.
func send(r *lab.Record, addr, id string, write bool) int {
	c, err := lab.Dial(addr)
	lab.Check(err)
	defer c.Close()
	q := lab.Request{ID: id, Class: "trace-read", Plan: "priority", Piece: fmt.Sprintf("%016x", rand.Uint64()),
		Volume: "00000003b4d60021", Units: 1, Hosts: 1, Remaining: 1200 * time.Millisecond}
	if write {
		q.Class, q.Write, q.Body, q.Remaining = "segment-write", true, []byte("data of "+id), deadline
	}
	r.Logf("a client sends %s %s", q.Class, id)
	c.Write(q.Bytes())
	status, _, _, err := c.Read(time.Now().Add(q.Remaining + time.Second))
	r.Logf("%s is answered %d %v", id, status, err)
	return status
}
