// Package soak runs a fleet of real heads on the platform's protocol under drawn faults that
// overlap in time, and judges it from the records of clients and nodes (internal/audit) and by
// what the heads count themselves (internal/guard). Discovery, nodes and clients are stand-ins
// of its own on loopback addresses; heads are processes of the program.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Options say what is run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Heads    int
	Nodes    int // two for each shard
}

// Limits of options.
const (
	minDuration = 4 * time.Second
	maxDuration = 30 * time.Minute
	maxHeads    = 64
	maxNodes    = 64
)

// Check names an option that is out of range.
func (o *Options) Check() error {
	switch {
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fmt.Errorf("a duration of %v is out of range (%v to %v)", o.Duration, minDuration, maxDuration)
	case o.Heads < 1 || o.Heads > maxHeads:
		return fmt.Errorf("%d heads are out of range (1 to %d)", o.Heads, maxHeads)
	case o.Nodes < 4 || o.Nodes > maxNodes || o.Nodes%2 != 0:
		return fmt.Errorf("%d nodes are out of range (4 to %d, even)", o.Nodes, maxNodes)
	}
	return nil
}

// Kind is a kind of fault.
type Kind int

// Faults.
const (
	DiscoveryDown Kind = iota // agents of all heads, or of one, are silent
	WatchesSilent             // what is open at agents stays silent
	DiscoverySlow             // agents take a while to answer
	Drain                     // a node drains, and serves again later
	NodeRestart               // a node vanishes and comes back cold
	NodeHang                  // a node answers nothing
	NodeLate                  // a node takes no connections for a while
	NodeReset                 // a node resets connections under requests
	NodeSpoilt                // a node answers noise
	HeadTerminate             // SIGTERM, SIGKILL at the earliest, a new process
	HeadKill                  // SIGKILL, a new process
	HeadReload                // discovery moves, SIGHUP
	HeadStop                  // SIGSTOP for up to 150 ms
	ClientsLeave              // clients give up early
	ClientsStall              // clients stop in the middle of a request
	ClientsCrowd              // idle connections
	kinds
)

func (k Kind) String() string {
	return [...]string{"discovery down", "watches fall silent", "discovery slow", "node drains", "node restarts cold", "node hangs",
		"node takes no connections", "node resets", "node answers noise", "head is terminated", "head is killed", "discovery moves",
		"head is held up", "clients leave", "clients stall", "clients crowd"}[k]
}

// Event is a fault of the script.
type Event struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	Who  int // a head or a node, -1: all heads
}

func (e Event) String() string {
	return fmt.Sprintf("%7.3f %v, %d, for %v", e.At.Seconds(), e.Kind, e.Who, e.For.Round(time.Millisecond))
}

// Script is what happens in a run.
type Script struct {
	Events []Event
	// Inject is the table of failing system calls of each head's process, "" for none.
	Inject []string
}

// Shares of a run: faults begin after the first and end before the last of it.
const (
	quietAtFirst = 1500 * time.Millisecond
	quietAtLast  = 2500 * time.Millisecond
)

// eachEvery is how often a fault begins, in the mean; one of outageEvery is an outage of
// discovery, beside those that are drawn with the others.
const (
	eachEvery   = 350 * time.Millisecond
	outageEvery = 6
)

// Draw draws a script. Faults are drawn one by one; some come in pairs that cross: drains in
// the moment in which discovery returns, reloads in series, a drain behind a stop.
func Draw(o *Options) *Script {
	r := rand.New(rand.NewPCG(o.Seed, 0x736f616b))
	s := &Script{}
	end := o.Duration - quietAtLast
	for at := quietAtFirst; at < end; at += time.Duration(r.ExpFloat64() * float64(eachEvery)) {
		s.draw(r, o, at, end)
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for range o.Heads {
		s.Inject = append(s.Inject, injection(r))
	}
	return s
}

func (s *Script) add(at, length time.Duration, kind Kind, who int) {
	s.Events = append(s.Events, Event{At: at, For: length, Kind: kind, Who: who})
}

func (s *Script) draw(r *rand.Rand, o *Options, at, end time.Duration) {
	span := func(from, to time.Duration) time.Duration {
		return min(from+time.Duration(r.Int64N(int64(to-from))), max(end-at, from))
	}
	head, node := r.IntN(o.Heads), r.IntN(o.Nodes)
	kind := Kind(r.IntN(int(kinds)))
	if r.IntN(outageEvery) == 0 {
		kind = DiscoveryDown
	}
	switch kind {
	case DiscoveryDown:
		who := head
		if r.IntN(2) == 0 {
			who = -1
		}
		length := span(100*time.Millisecond, 5*time.Second)
		s.add(at, length, kind, who)
		for range 1 + r.IntN(2) { // nodes drain while it is down, beyond the return, at which that counts
			after := time.Duration(r.Int64N(int64(length)))
			s.add(at+after, length-after+span(time.Second, 3*time.Second), Drain, r.IntN(o.Nodes))
		}
	case WatchesSilent, DiscoverySlow:
		s.add(at, span(100*time.Millisecond, 2*time.Second), kind, head)
	case Drain:
		s.add(at, span(time.Second, 4*time.Second), kind, node)
	case NodeRestart:
		s.add(at, span(300*time.Millisecond, 2*time.Second), kind, node)
	case NodeHang, NodeLate, NodeReset, NodeSpoilt:
		s.add(at, span(100*time.Millisecond, 1500*time.Millisecond), kind, node)
	case HeadTerminate:
		s.add(at, span(100*time.Millisecond, time.Second), kind, head)
		if r.IntN(2) == 0 { // signals in series
			s.add(at+time.Duration(r.IntN(400))*time.Millisecond, 0, HeadReload, head)
			s.add(at+time.Duration(r.IntN(900))*time.Millisecond, 2*time.Second, Drain, node)
		}
	case HeadKill:
		s.add(at, span(100*time.Millisecond, time.Second), kind, head)
	case HeadReload:
		for n := 1 + r.IntN(3); n > 0; n-- {
			s.add(at+time.Duration(r.IntN(500))*time.Millisecond, 0, kind, head)
		}
		s.add(at+time.Duration(r.IntN(500))*time.Millisecond, span(time.Second, 3*time.Second), Drain, node)
	case HeadStop:
		s.add(at, span(20*time.Millisecond, 150*time.Millisecond), kind, head)
	default:
		s.add(at, span(200*time.Millisecond, 2*time.Second), kind, head)
	}
}

// injection draws the table of failing system calls of one process.
func injection(r *rand.Rand) string {
	faults := []string{"read SHORT chance 0.02", "write SHORT chance 0.02", "read EINTR chance 0.05; write EINTR chance 0.05; epoll_wait EINTR chance 0.05",
		"accept ECONNABORTED chance 0.05", "accept ENFILE from 3s for 300ms", "socket ENFILE from 4s for 300ms", "connect EADDRNOTAVAIL chance 0.05",
		"connect ENETUNREACH from 5s for 200ms", "epoll_ctl ENOMEM chance 0.02 from 1s", "write ENOBUFS chance 0.02", "shutdown ENOBUFS chance 0.1",
		"step 1h", "step -1h", "step 3s", "step -3s"}
	text := fmt.Sprintf("seed %d", r.Uint64()%1000)
	for range r.IntN(4) {
		text += "; " + faults[r.IntN(len(faults))]
	}
	return text
}
