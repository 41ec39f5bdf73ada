// Package daemon runs one gateway instance as a process does: it builds the event loop, the
// gateway and its membership source from a configuration, opens the listeners, serves,
// reloads and shuts down.
//
// A Daemon is built in one of three roles: a standalone instance (New), one of several worker
// processes that share listeners (NewWorker), or an instance of a platform (NewPlatform). The
// first two read their nodes from a node list file, the last one from discovery.
package daemon

import (
	"log/slog"
	"sync/atomic"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/eventloop"
	"maddergap/internal/gateway"
)

// Daemon is a gateway instance on its event loop. All fields but the atomic ones belong to the
// goroutine of Run.
type Daemon struct {
	config     *config.Config
	started    *config.Config // that of the start
	log        *slog.Logger
	loop       *eventloop.Loop
	gateway    *gateway.Gateway
	observer   *observer
	iterations *iterationStats
	metrics    *metricsServer // nil for none
	role       role
	members    membershipSource
	shutdown   *shutdown
	addrs      []string

	// Requests of other goroutines, which wake the loop after setting one.
	stopRequested   atomic.Bool
	reloadRequested atomic.Bool
	// iterated is set by each iteration of the loop and cleared by each heartbeat.
	iterated atomic.Bool
}

// New returns a standalone instance for a configuration. It reads the node list and opens the
// listeners; nothing is served before Run. Mistakes are of type *config.Error.
func New(c *config.Config, log *slog.Logger, opts ...Option) (*Daemon, error) {
	return newWithNodeList(standaloneRole{}, c, log, opts)
}

// NewWorker is New for one of the processes of c that share its listeners: it takes over the
// listen queues and serves with its part of the limits.
func NewWorker(w Worker, c *config.Config, log *slog.Logger, opts ...Option) (*Daemon, error) {
	return newWithNodeList(workerRole{w}, c.ForWorker(w.Index), log, opts)
}

// open builds what all roles have around the loop, hands the gateway its nodes and opens the
// listeners. On an error, the caller closes the daemon.
func (d *Daemon) open(o *options, seed uint64) (err error) {
	if d.observer, err = newObserver(d.config, d.log, d.loop.Origin()); err != nil {
		return err
	}
	scheduler, err := o.newScheduler(d.config.Scheduler, seed, d.loop.Now())
	if err != nil {
		return err
	}
	d.gateway = gateway.NewWithScheduler(scheduler, d.config, seed, d.loop.Now(), d.loop.Origin(), d.observer)
	d.shutdown = newShutdown(d.loop, d.gateway, d.log)
	d.loop.Gateway = d.gateway
	d.loop.OnWake = d.onWake
	d.loop.OnIteration = func(it *eventloop.Iteration) { d.iterations.observe(d.loop.Now(), it) }
	if err := d.members.start(d.loop, d.gateway); err != nil {
		return err
	}
	if addr := d.config.Telemetry.MetricsAddr; addr != "" {
		if d.metrics, err = newMetricsServer(addr, d.iterations); err != nil {
			return err
		}
	}
	return d.role.openListeners(d)
}

// close releases what open acquired, also where it failed halfway.
func (d *Daemon) close() {
	if d.metrics != nil {
		d.metrics.close()
	}
	d.loop.Close()
	if d.observer != nil {
		d.observer.close()
	}
}

// Addrs are the addresses listened on, one for each of Config.Listen.
func (d *Daemon) Addrs() []string { return d.addrs }

// MetricsAddr is the address of the metrics listener, "" for none.
func (d *Daemon) MetricsAddr() string {
	if d.metrics == nil {
		return ""
	}
	return d.metrics.addr
}

// Counts are the gateway's counters. They may be read when Run has returned.
func (d *Daemon) Counts() gateway.Counts { return d.gateway.Counts() }

// Stop starts a graceful shutdown, at the end of which Run returns. It may be called from any
// goroutine, and more than once.
func (d *Daemon) Stop() {
	d.stopRequested.Store(true)
	d.loop.Wake()
}

// Reload reads the configuration again and applies all of it or nothing; the log says which. On a
// platform a new address of discovery is applied even if the rest needs a restart, as the old
// address may be gone. It may be called from any goroutine.
func (d *Daemon) Reload() {
	d.reloadRequested.Store(true)
	d.loop.Wake()
}

// Run serves until a shutdown has completed. It returns an *AbortedError if requests had to be
// aborted at the end of the shutdown timeout.
func (d *Daemon) Run() error {
	defer d.close()
	quit := make(chan struct{})
	defer close(quit)
	go d.members.background(quit)
	go d.role.background(d, quit)
	if err := d.loop.Run(d.onIteration); err != nil {
		return err
	}
	d.logStopped()
	if n := d.shutdown.aborted; n > 0 {
		return &AbortedError{Requests: n, Timeout: d.config.Timeouts.Shutdown}
	}
	return nil
}

// onWake serves the requests of other goroutines, after one of them has woken the loop.
func (d *Daemon) onWake() {
	d.members.onWake()
	if d.reloadRequested.Swap(false) {
		if err := d.role.reload(d); err != nil {
			d.log.Error("reload rejected", "error", err)
		} else {
			d.log.Info("reloaded", "file", d.config.File)
		}
	}
	if d.stopRequested.Load() {
		d.shutdown.startOrEndDraining(d.config.Timeouts)
	}
}

// onIteration runs at the end of each iteration of the loop and reports that the last one is done.
func (d *Daemon) onIteration() (done bool) {
	d.members.onIteration()
	if d.metrics != nil {
		d.metrics.publish(d.loop.Now(), d.gateway)
	}
	d.iterated.Store(true)
	return d.shutdown.advance()
}

func (d *Daemon) logStopped() {
	n := d.gateway.Counts()
	d.log.Info("stopped",
		"received", n.Received, "served", n.Served, "rejected", n.Rejected, "failed", n.Failed, "disconnected", n.Disconnected, "dropped", n.Dropped,
		"attempts", n.Attempts, "connections_rejected", total(n.ConnectionsRejected[:]), "preempted", n.Preempted,
		"malformed", n.Malformed, "local", n.Local,
		"withheld", total(n.Invariants.Withheld[:]), "invariants_violated", total(n.Invariants.Violated[:]),
		"took", d.loop.Now()-d.shutdown.requestedAt)
}

func total(counts []uint64) (sum uint64) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// wakeAfter wakes the loop once d has passed.
func wakeAfter(loop interface{ Wake() }, d time.Duration) { time.AfterFunc(d, loop.Wake) }
