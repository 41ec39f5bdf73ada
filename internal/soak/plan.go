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
	Seed      uint64
	Duration  time.Duration
	Instances int
	Nodes     int // two for each shard
}

// Limits of options.
const (
	minDuration = 4 * time.Second
	maxDuration = 30 * time.Minute
	maxHeads    = 64
	maxNodes    = 64
)

// Validate names an option that is out of range.
func (o *Options) Validate() error {
	switch {
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fmt.Errorf("a duration of %v is out of range (%v to %v)", o.Duration, minDuration, maxDuration)
	case o.Instances < 1 || o.Instances > maxHeads:
		return fmt.Errorf("%d heads are out of range (1 to %d)", o.Instances, maxHeads)
	case o.Nodes < 4 || o.Nodes > maxNodes || o.Nodes%2 != 0:
		return fmt.Errorf("%d nodes are out of range (4 to %d, even)", o.Nodes, maxNodes)
	}
	return nil
}

// FaultKind is a kind of fault.
type FaultKind int

// Faults.
const (
	AgentOutage            FaultKind = iota // agents of all heads, or of one, are silent
	AgentHangWatches                        // what is open at agents stays silent
	AgentDelayResponses                     // agents take a while to answer
	NodeDrain                               // a node drains, and serves again later
	NodeRestart                             // a node vanishes and comes back cold
	NodeHang                                // a node answers nothing
	NodePauseAccept                         // a node takes no connections for a while
	NodeResetConns                          // a node resets connections under requests
	NodeMalformedResponses                  // a node answers noise
	InstanceTerminate                       // SIGTERM, SIGKILL at the earliest, a new process
	InstanceKill                            // SIGKILL, a new process
	InstanceReload                          // discovery moves, SIGHUP
	InstanceSuspend                         // SIGSTOP for up to 150 ms
	ClientsDisconnect                       // clients give up early
	ClientsStall                            // clients stop in the middle of a request
	ClientsIdleConns                        // idle connections
	faultKinds
)

func (k FaultKind) String() string {
	return [...]string{"discovery down", "watches fall silent", "discovery slow", "node drains", "node restarts cold", "node hangs",
		"node takes no connections", "node resets", "node answers noise", "head is terminated", "head is killed", "discovery moves",
		"head is held up", "clients leave", "clients stall", "clients crowd"}[k]
}

// Fault is a fault of the script.
type Fault struct {
	Start    time.Duration
	Duration time.Duration
	Kind     FaultKind
	Target   int // a head or a node, -1: all heads
}

func (e Fault) String() string {
	return fmt.Sprintf("%7.3f %v, %d, for %v", e.Start.Seconds(), e.Kind, e.Target, e.Duration.Round(time.Millisecond))
}

// Plan is what happens in a run.
type Plan struct {
	Faults []Fault
	// SyscallFaults is the table of failing system calls of each head's process, "" for none.
	SyscallFaults []string
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

// DrawPlan draws a script. Faults are drawn one by one; some come in pairs that cross: drains in
// the moment in which discovery returns, reloads in series, a drain behind a stop.
func DrawPlan(o *Options) *Plan {
	r := rand.New(rand.NewPCG(o.Seed, 0x736f616b))
	s := &Plan{}
	end := o.Duration - quietAtLast
	for at := quietAtFirst; at < end; at += time.Duration(r.ExpFloat64() * float64(eachEvery)) {
		s.draw(r, o, at, end)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	for range o.Instances {
		s.SyscallFaults = append(s.SyscallFaults, injection(r))
	}
	return s
}

func (s *Plan) add(at, length time.Duration, kind FaultKind, who int) {
	s.Faults = append(s.Faults, Fault{Start: at, Duration: length, Kind: kind, Target: who})
}

func (s *Plan) draw(r *rand.Rand, o *Options, at, end time.Duration) {
	span := func(from, to time.Duration) time.Duration {
		return min(from+time.Duration(r.Int64N(int64(to-from))), max(end-at, from))
	}
	head, node := r.IntN(o.Instances), r.IntN(o.Nodes)
	kind := FaultKind(r.IntN(int(faultKinds)))
	if r.IntN(outageEvery) == 0 {
		kind = AgentOutage
	}
	switch kind {
	case AgentOutage:
		who := head
		if r.IntN(2) == 0 {
			who = -1
		}
		length := span(100*time.Millisecond, 5*time.Second)
		s.add(at, length, kind, who)
		for range 1 + r.IntN(2) { // nodes drain while it is down, beyond the return, at which that counts
			after := time.Duration(r.Int64N(int64(length)))
			s.add(at+after, length-after+span(time.Second, 3*time.Second), NodeDrain, r.IntN(o.Nodes))
		}
	case AgentHangWatches, AgentDelayResponses:
		s.add(at, span(100*time.Millisecond, 2*time.Second), kind, head)
	case NodeDrain:
		s.add(at, span(time.Second, 4*time.Second), kind, node)
	case NodeRestart:
		s.add(at, span(300*time.Millisecond, 2*time.Second), kind, node)
	case NodeHang, NodePauseAccept, NodeResetConns, NodeMalformedResponses:
		s.add(at, span(100*time.Millisecond, 1500*time.Millisecond), kind, node)
	case InstanceTerminate:
		s.add(at, span(100*time.Millisecond, time.Second), kind, head)
		if r.IntN(2) == 0 { // signals in series
			s.add(at+time.Duration(r.IntN(400))*time.Millisecond, 0, InstanceReload, head)
			s.add(at+time.Duration(r.IntN(900))*time.Millisecond, 2*time.Second, NodeDrain, node)
		}
	case InstanceKill:
		s.add(at, span(100*time.Millisecond, time.Second), kind, head)
	case InstanceReload:
		for n := 1 + r.IntN(3); n > 0; n-- {
			s.add(at+time.Duration(r.IntN(500))*time.Millisecond, 0, kind, head)
		}
		s.add(at+time.Duration(r.IntN(500))*time.Millisecond, span(time.Second, 3*time.Second), NodeDrain, node)
	case InstanceSuspend:
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
