// Package daemon runs one gateway instance. It builds the event loop, the gateway and its membership
// source from a configuration, opens the listeners, serves requests, reloads the configuration and
// shuts down gracefully.
//
// A Daemon has one of three roles: a standalone instance (New), one of several worker processes that
// share listeners (NewWorker), or an instance on a platform (NewPlatform). Standalone instances and
// workers read their nodes from a node list file; an instance on a platform gets them from discovery.
package daemon

import (
	"log/slog"
	"sync/atomic"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/eventloop"
	"maddergap/internal/gateway"
)

// Daemon is a gateway instance with its event loop. While Run runs, only its goroutine may use
// the gateway and the loop (except for Wake), or change a field that is not atomic.
type Daemon struct {
	config      *config.Config // configuration in effect
	startConfig *config.Config // configuration at the start; nil on a platform
	log         *slog.Logger
	loop        *eventloop.Loop
	gateway     *gateway.Gateway
	observer    *observer
	iterations  *iterationStats
	metrics     *metricsServer // nil if the configuration has no metrics address
	role        role
	members     membershipSource
	shutdown    *shutdown
	addrs       []string // see Addrs

	// Set by other goroutines, which then wake the loop.
	stopRequested   atomic.Bool
	reloadRequested atomic.Bool
	// iterated is set at the end of each iteration and cleared by each heartbeat of a worker. A
	// heartbeat is sent only if it was set.
	iterated atomic.Bool
}

// New returns a standalone instance. It reads the node list and opens the listeners, but serves no
// request before Run. Mistakes in the node list, and limits that need more descriptors than the process
// may open, are reported as errors of type *config.Error, which may be joined.
func New(c *config.Config, log *slog.Logger, opts ...Option) (*Daemon, error) {
	return newWithNodeList(standaloneRole{}, c, log, opts)
}

// NewWorker returns an instance for one of the worker processes that share the listeners of c. The
// worker accepts connections from the listen queues in w and uses its part of the limits in c.
func NewWorker(w Worker, c *config.Config, log *slog.Logger, opts ...Option) (*Daemon, error) {
	return newWithNodeList(workerRole{w}, c.ForWorker(w.Index), log, opts)
}

// open builds the parts that all roles have in common, starts the membership source and opens the
// listeners. If it returns an error, the caller has to close the daemon.
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

// close releases the resources that open acquired, including those of an open that failed.
func (d *Daemon) close() {
	if d.metrics != nil {
		d.metrics.close()
	}
	d.loop.Close()
	if d.observer != nil {
		d.observer.close()
	}
}

// Addrs returns the addresses listened on, one for each address in Config.Listen.
func (d *Daemon) Addrs() []string { return d.addrs }

// MetricsAddr returns the address of the metrics listener, or "" if there is none.
func (d *Daemon) MetricsAddr() string {
	if d.metrics == nil {
		return ""
	}
	return d.metrics.addr
}

// Counts returns the gateway's counters. It may be called only after Run has returned.
func (d *Daemon) Counts() gateway.Counts { return d.gateway.Counts() }

// Stop requests a graceful shutdown, after which Run returns. It may be called from any goroutine,
// and more than once.
func (d *Daemon) Stop() {
	d.stopRequested.Store(true)
	d.loop.Wake()
}

// Reload requests that the configuration is read again, and either applied or rejected as a whole. The
// result is logged. On a platform, only the discovery address can change without a restart; see
// platformRole.reload. Reload may be called from any goroutine.
func (d *Daemon) Reload() {
	d.reloadRequested.Store(true)
	d.loop.Wake()
}

// Run serves requests until a shutdown requested by Stop has completed. It returns an *AbortedError if
// requests were still pending at the shutdown timeout and had to be aborted.
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

// onWake carries out a reload or a stop that another goroutine has requested, and notifies the membership
// source. It is called on the loop's goroutine after a wake.
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

// onIteration is called at the end of each iteration of the loop. It reports whether the shutdown is
// complete and the loop has to end.
func (d *Daemon) onIteration() (done bool) {
	d.members.onIteration()
	if d.metrics != nil {
		d.metrics.publish(d.loop.Now(), d.gateway)
	}
	d.iterated.Store(true)
	return d.shutdown.advance()
}

// logStopped logs the final counters and the duration of the shutdown.
func (d *Daemon) logStopped() {
	n := d.gateway.Counts()
	d.log.Info("stopped",
		"received", n.Received, "served", n.Served, "rejected", n.Rejected, "failed", n.Failed, "disconnected", n.Disconnected, "dropped", n.Dropped,
		"attempts", n.Attempts, "connections_rejected", total(n.ConnectionsRejected[:]), "preempted", n.Preempted,
		"malformed", n.Malformed, "local", n.Local,
		"given_up", n.AttemptsGivenUp, "node_connections_opened", n.NodeConnsOpened, "unsolicited_responses", n.UnsolicitedResponses,
		"withheld", total(n.Invariants.Withheld[:]), "invariants_violated", total(n.Invariants.Violated[:]),
		"took", d.loop.Now()-d.shutdown.requestedAt)
}

// total returns the sum of counts.
func total(counts []uint64) (sum uint64) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// wakeAfter wakes the loop after d.
func wakeAfter(loop interface{ Wake() }, d time.Duration) { time.AfterFunc(d, loop.Wake) }
