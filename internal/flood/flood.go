// Package flood is a load generator that tests admission control. Connections from many loopback source
// addresses load a gateway in one of several patterns, with limits on their number and duration. At the
// same time well-behaved clients send requests. The package counts the outcomes for each kind of client.
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

// dialTimeout is how long each client waits for its connection to be established.
const dialTimeout = 5 * time.Second

// Result holds the statistics of each kind of client.
type Result struct {
	Flood  *Stats
	Known  *Stats // clients of Options.KnownClients
	Others *Stats // clients of Options.OtherClients
}

// Run floods the target until all attempts are made or the duration has passed. If there are well-behaved
// clients, it always takes the whole duration. It returns an error only if Options.Check does.
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

// startAttackers starts the goroutines that make the flood's connections. Each takes the next attempt
// from a shared counter; the sources are used in turn.
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

// startClients starts a well-behaved client for each address.
func (o *Options) startClients(ctx context.Context, clients *sync.WaitGroup, addrs []netip.Addr, stats *Stats) {
	for _, addr := range addrs {
		clients.Go(func() { o.runClient(ctx, addr, stats) })
	}
}

// RunProcess runs the flood of o, without well-behaved clients, in a separate process, so that it does not
// slow down clients in this process. argv is the program and its first arguments. Only the number
// of o.Sources is passed on.
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

// dial connects to the target from the given source address.
func (o *Options) dial(ctx context.Context, source netip.Addr) (net.Conn, error) {
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{IP: source.AsSlice()},
		Timeout:   dialTimeout,
		Control:   bindAddressNoPort,
	}
	return dialer.DialContext(ctx, "tcp", o.Target)
}

// bindAddressNoPort makes the kernel choose the source port in connect instead of bind. In connect only the
// combination of both addresses and ports must be unique. Ports chosen in bind would run out after a few
// thousand connections from one address.
func bindAddressNoPort(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
}

// sleep waits for d and returns true. It returns false at once when ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
