package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"

	"maddergap/internal/config"
	"maddergap/internal/eventloop"
	"maddergap/internal/supervisor"
)

// role is what differs between a standalone instance, a worker and an instance of a platform.
// It is chosen once, when the daemon is built.
type role interface {
	// openListeners starts listening and sets the daemon's addresses.
	openListeners(d *Daemon) error
	// reload reads the configuration again and applies it, or returns why it cannot be. It is
	// called on the loop's goroutine.
	reload(d *Daemon) error
	// background runs in a goroutine of its own, until quit closes at the latest.
	background(d *Daemon, quit <-chan struct{})
}

// Worker is what one of several processes that share listeners is given by its parent.
type Worker struct {
	// Index counts the workers from 0.
	Index int
	// Queues are the listen queues of this process and of all others.
	Queues []eventloop.ListenQueue
	// Heartbeat is written to while the loop iterates. When its other end is closed, the
	// parent is gone, and the worker shuts down.
	Heartbeat *os.File
}

// newWithNodeList builds a daemon whose nodes are in a file. Whatever can be checked is checked
// before a socket is opened.
func newWithNodeList(r role, c *config.Config, log *slog.Logger, opts []Option) (*Daemon, error) {
	source, err := newNodeListSource(c.NodeList, log)
	if err != nil {
		return nil, err
	}
	conns := connLimitsOf(c)
	if err := checkDescriptorLimit(conns.clients + conns.rejections + reservedDescriptors); err != nil {
		return nil, &config.Error{File: c.File, Reason: fmt.Sprintf("clients %d, with rejections and %d descriptors reserved for nodes and files, %v",
			c.Limits.Clients, reservedDescriptors, err)}
	}
	loop, err := eventloop.NewWithCalls(newSyscalls(c), conns.clients, conns.rejections)
	if err != nil {
		return nil, err
	}
	d := &Daemon{config: c, started: c, log: log, loop: loop, iterations: newIterationStats(log), role: r, members: source}
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if err := d.open(newOptions(opts), seed); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// standaloneRole is a single process with listeners of its own.
type standaloneRole struct{}

func (standaloneRole) openListeners(d *Daemon) error { return d.listen(knownClientFilter(d.config)) }

func (standaloneRole) reload(d *Daemon) error {
	c, err := reloadedConfig(d.config)
	if err != nil {
		return err
	}
	return d.applyConfig(c)
}

func (standaloneRole) background(*Daemon, <-chan struct{}) {}

// workerRole is one of several processes that share listeners.
type workerRole struct{ Worker }

func (r workerRole) openListeners(d *Daemon) error {
	for _, queue := range r.Queues {
		addr, err := d.loop.AdoptQueue(queue)
		if err != nil {
			return err
		}
		if !queue.KnownClients { // each address has a queue for known clients besides
			d.addrs = append(d.addrs, addr)
		}
	}
	return nil
}

func (r workerRole) reload(d *Daemon) error {
	c, err := reloadedConfig(d.config)
	if err != nil {
		return err
	}
	if err := d.applyConfig(c.ForWorker(r.Index)); err != nil {
		return err
	}
	if c.Timeouts.Shutdown != d.started.Timeouts.Shutdown { // the parent read it at its start
		logChangesWithoutEffect(d.log, []string{"stop-time of the parent process"})
	}
	return nil
}

// background sends heartbeats while the loop iterates, and stops the daemon when the parent is gone.
func (r workerRole) background(d *Daemon, quit <-chan struct{}) {
	iterated := func() bool {
		d.loop.Wake()
		return d.iterated.Swap(false)
	}
	if err := supervisor.SendHeartbeats(r.Heartbeat, iterated, quit); err != nil {
		d.Stop()
	}
}

// reloadedConfig reads the file of a running configuration again.
func reloadedConfig(running *config.Config) (*config.Config, error) {
	c, err := config.Load(running.File)
	if err != nil {
		return nil, err
	}
	if c.Processes != running.Processes {
		return nil, errors.New("processes change with a restart only")
	}
	return c, nil
}

// applyConfig replaces the configuration of a running daemon. What is bound to descriptors or
// files that are open has to be the same.
func (d *Daemon) applyConfig(c *config.Config) error {
	old := d.config
	switch {
	case !slices.Equal(c.Listen, old.Listen), c.NodeList != old.NodeList, c.Limits.Clients != old.Limits.Clients,
		c.Telemetry.LogFile != old.Telemetry.LogFile, c.Telemetry.MetricsAddr != old.Telemetry.MetricsAddr,
		c.Telemetry.TraceFile != old.Telemetry.TraceFile:
		return errors.New("listen, nodes, clients, log, metrics and traces change with a restart only")
	}
	if err := d.gateway.Reload(c); err != nil {
		return err
	}
	// The filter only picks the queue that a connection waits in; admission is decided by the
	// new configuration also where it cannot be replaced.
	if err := d.loop.SetKnownClientFilter(knownClientFilter(c)); err != nil {
		d.log.Warn("known-client filter not updated", "error", err)
	}
	d.config = c
	logChangesWithoutEffect(d.log, changesWithoutEffect(d.started, c))
	return nil
}
