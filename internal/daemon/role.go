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

// role is the behavior that differs between a standalone instance, a worker and an instance on a platform.
// A daemon's role does not change.
type role interface {
	// openListeners opens the daemon's listeners, or takes over inherited ones, and sets addrs.
	openListeners(d *Daemon) error
	// reload reads the configuration again and applies it. It returns an error if the new
	// configuration is rejected. It is called on the loop's goroutine.
	reload(d *Daemon) error
	// background runs in a goroutine of its own. It has to return when quit is closed.
	background(d *Daemon, quit <-chan struct{})
}

// Worker holds what a worker process gets from its parent, the supervisor.
type Worker struct {
	// Index is the worker's number, from 0.
	Index int
	// Queues are the inherited listen queues, which all workers share.
	Queues []eventloop.ListenQueue
	// Heartbeat is the pipe to which heartbeats are written while the loop iterates. If a write
	// fails, the parent has exited, and the worker shuts down.
	Heartbeat *os.File
}

// newWithNodeList returns a daemon that reads its nodes from a node list file. It checks the node list
// and the descriptor limit before it opens a socket.
func newWithNodeList(r role, c *config.Config, log *slog.Logger, opts []Option) (*Daemon, error) {
	source, err := newNodeListSource(c.NodeList, log)
	if err != nil {
		return nil, err
	}
	conns := newConnLimits(c)
	if err := checkDescriptorLimit(conns.clients + conns.rejections + reservedDescriptors); err != nil {
		return nil, &config.Error{File: c.File, Reason: fmt.Sprintf("clients %d, with rejections and %d descriptors reserved for nodes and files, %v",
			c.Limits.Clients, reservedDescriptors, err)}
	}
	loop, err := eventloop.NewWithCalls(newSyscalls(c), conns.clients, conns.rejections)
	if err != nil {
		return nil, err
	}
	d := &Daemon{config: c, startConfig: c, log: log, loop: loop, iterations: newIterationStats(log), role: r, members: source}
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

// standaloneRole is the role of a single process with its own listeners.
type standaloneRole struct{}

func (standaloneRole) openListeners(d *Daemon) error { return d.listen(knownClientFilter(d.config)) }

func (standaloneRole) reload(d *Daemon) error {
	c, err := reloadConfig(d.config)
	if err != nil {
		return err
	}
	return d.applyConfig(c)
}

func (standaloneRole) background(*Daemon, <-chan struct{}) {}

// workerRole is the role of one of several processes that share listeners.
type workerRole struct{ Worker }

func (r workerRole) openListeners(d *Daemon) error {
	for _, queue := range r.Queues {
		addr, err := d.loop.AdoptQueue(queue)
		if err != nil {
			return err
		}
		if !queue.KnownClients { // an address with a queue for known clients has two queues: list it once
			d.addrs = append(d.addrs, addr)
		}
	}
	return nil
}

func (r workerRole) reload(d *Daemon) error {
	c, err := reloadConfig(d.config)
	if err != nil {
		return err
	}
	if err := d.applyConfig(c.ForWorker(r.Index)); err != nil {
		return err
	}
	if c.Timeouts.Shutdown != d.startConfig.Timeouts.Shutdown { // the parent process reads it only at its start
		logChangesWithoutEffect(d.log, []string{"stop-time of the parent process"})
	}
	return nil
}

// background sends heartbeats while the loop iterates, and stops the daemon if the parent has exited.
func (r workerRole) background(d *Daemon, quit <-chan struct{}) {
	iterated := func() bool {
		d.loop.Wake()
		return d.iterated.Swap(false)
	}
	if err := supervisor.SendHeartbeats(r.Heartbeat, iterated, quit); err != nil {
		d.Stop()
	}
}

// reloadConfig reads the file of the running configuration again. It returns an error if the file is not
// valid or changes the number of processes.
func reloadConfig(running *config.Config) (*config.Config, error) {
	c, err := config.Load(running.File)
	if err != nil {
		return nil, err
	}
	if c.Processes != running.Processes {
		return nil, errors.New("processes change with a restart only")
	}
	return c, nil
}

// applyConfig replaces the configuration of a running daemon. It returns an error, and changes nothing,
// if settings that are bound to open descriptors or files differ, or if the gateway rejects c.
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
	// The filter only selects the listen queue of a connection. If it cannot be replaced, admission
	// still decides by the new configuration.
	if err := d.loop.SetKnownClientFilter(knownClientFilter(c)); err != nil {
		d.log.Warn("known-client filter not updated", "error", err)
	}
	d.config = c
	logChangesWithoutEffect(d.log, changesWithoutEffect(d.startConfig, c))
	return nil
}
