// Package flood is a load generator for admission control. Connections from many loopback source
// addresses press on a gateway in one of several patterns, bounded in count and time, while
// well-behaved clients go on with their requests. It counts what becomes of each kind of client.
package flood

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/subprocess"
)

// dialTimeout is how long a client of any kind waits for its connection.
const dialTimeout = 5 * time.Second

// Result is what became of each kind of client.
type Result struct {
	Flood  *Stats
	Known  *Stats // of Options.KnownClients
	Others *Stats // of Options.OtherClients
}

// Run floods the target until all attempts are made or the duration is over. With well-behaved
// clients it takes the whole duration. The error is that of Options.Check.
func Run(o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Duration)
	defer cancel()
	result := &Result{Flood: newStats(), Known: newStats(), Others: newStats()}
	var attackers, clients sync.WaitGroup
	o.startAttackers(ctx, &attackers, result.Flood)
	o.startClients(ctx, &clients, o.KnownClients, result.Known)
	o.startClients(ctx, &clients, o.OtherClients, result.Others)
	if len(o.KnownClients)+len(o.OtherClients) == 0 {
		attackers.Wait()
		cancel()
	}
	clients.Wait()
	cancel()
	attackers.Wait()
	return result, nil
}

// startAttackers starts the goroutines that share the attempts of the flood. The sources take
// turns.
func (o *Options) startAttackers(ctx context.Context, attackers *sync.WaitGroup, stats *Stats) {
	var mu sync.Mutex
	nextAttempt := 0
	takeAttempt := func() int {
		mu.Lock()
		defer mu.Unlock()
		attempt := nextAttempt
		nextAttempt++
		return attempt
	}
	for range min(o.Concurrency, o.Attempts) {
		attackers.Go(func() {
			for ctx.Err() == nil {
				attempt := takeAttempt()
				if attempt >= o.Attempts {
					return
				}
				o.attack(ctx, o.Sources[attempt%len(o.Sources)], stats)
			}
		})
	}
}

func (o *Options) startClients(ctx context.Context, clients *sync.WaitGroup, addrs []netip.Addr, stats *Stats) {
	for _, addr := range addrs {
		clients.Go(func() { o.runClient(ctx, addr, stats) })
	}
}

// RunProcess runs the flood of o, without well-behaved clients, in a process of its own, so that
// it does not take the time of clients in this one. argv is the program and its first arguments.
// Of the sources only their number is passed on.
func RunProcess(o Options, argv ...string) (*Stats, error) {
	out, err := subprocess.Output(append(slices.Clone(argv), "flood", "--json",
		"--target", o.Target,
		"--path", o.Path,
		"--pattern", string(o.Pattern),
		"--sources", fmt.Sprint(len(o.Sources)),
		"--tries", fmt.Sprint(o.Attempts),
		"--at-once", fmt.Sprint(o.Concurrency),
		"--length", o.Duration.String(),
		"--known", "0",
		"--others", "0")...)
	if err != nil {
		return nil, err
	}
	stats := newStats()
	return stats, json.Unmarshal(out, stats)
}

// dial connects to the target from a source address.
func (o *Options) dial(ctx context.Context, source netip.Addr) (net.Conn, error) {
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{IP: source.AsSlice()},
		Timeout:   dialTimeout,
		Control:   bindAddressNoPort,
	}
	return dialer.DialContext(ctx, "tcp", o.Target)
}

// bindAddressNoPort has the kernel choose the source port at connect, by the whole four-tuple.
// Chosen at bind, ports would run out with a few thousand connections from one address.
func bindAddressNoPort(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
}

// sleep waits for d and reports whether ctx was not done before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
