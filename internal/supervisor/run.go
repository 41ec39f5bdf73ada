package supervisor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"time"
)

// defaultConfig holds the timeouts that Run uses. Workers and KillAfter are set from its Options.
var defaultConfig = Config{
	HeartbeatTimeout: 10 * time.Second,
	StartupTimeout:   30 * time.Second,
	BackoffMin:       100 * time.Millisecond,
	BackoffMax:       10 * time.Second,
	StableAfter:      30 * time.Second,
}

const (
	// exitGrace is the time a worker has to exit after its own shutdown timeout, before it is
	// killed.
	exitGrace = 2 * time.Second
	// maxWait bounds a single wait for events.
	maxWait = time.Hour
	// FirstInheritedFD is the descriptor number of the first of Options.Files in a worker. It
	// follows the standard streams.
	FirstInheritedFD = 3
)

// Options configures Run.
type Options struct {
	Workers int // number of worker processes
	// ShutdownTimeout is the timeout of a worker's own graceful shutdown. A worker that is
	// still running exitGrace after this timeout is killed.
	ShutdownTimeout time.Duration
	// Command returns the command that starts worker i.
	Command func(i int) *exec.Cmd
	// Files are inherited by each worker, from descriptor FirstInheritedFD on. The pipe on which the
	// worker sends heartbeats follows them: see HeartbeatFD.
	Files []*os.File
	// OnShutdown is called when ctx is done, after which Files are no longer used.
	OnShutdown func()
	Log        *slog.Logger
}

// HeartbeatFD returns the descriptor on which a worker sends heartbeats, given the number of
// Options.Files that it inherits.
func HeartbeatFD(files int) int { return FirstInheritedFD + files }

// workerEvent reports a heartbeat or the exit of a worker.
type workerEvent struct {
	worker int
	exited bool  // false for a heartbeat
	cause  error // reason for the exit; not nil if exited is set
}

// errExited is the cause recorded for an exit with status 0, for which Wait returns no error.
var errExited = errors.New("exited with status 0")

// Run starts the workers and restarts them when they exit or hang. When ctx is done, it shuts them
// down, and it returns once all of them have exited. Signals received from the channel are forwarded
// to every running worker. Run returns an error if a worker exits, or cannot be started, before
// any worker has sent a heartbeat.
func Run(ctx context.Context, o Options, signals <-chan os.Signal) error {
	r := newRunner(o)
	stop := ctx.Done()
	for {
		actions, next := r.supervisor.Advance(r.now())
		for _, action := range actions {
			r.apply(action)
		}
		if len(actions) > 0 {
			continue // a failed start changes the state: ask for actions again
		}
		if done, err := r.supervisor.Done(); done {
			return err
		}
		timer := time.NewTimer(min(max(next-r.now(), 0), maxWait))
		select {
		case event := <-r.events:
			r.handle(event)
		case sig := <-signals:
			r.forward(sig)
		case <-stop:
			stop = nil
			r.supervisor.Shutdown(r.now())
			o.OnShutdown()
		case <-timer.C:
		}
		timer.Stop()
	}
}

// runner applies the actions of a Supervisor to processes.
type runner struct {
	options    Options
	supervisor *Supervisor
	startedAt  time.Time
	processes  []*os.Process // by worker index; nil if not running
	events     chan workerEvent
}

func newRunner(o Options) *runner {
	c := defaultConfig
	c.Workers = o.Workers
	c.KillAfter = o.ShutdownTimeout + exitGrace
	return &runner{
		options:    o,
		supervisor: New(c, 0),
		startedAt:  time.Now(),
		processes:  make([]*os.Process, o.Workers),
		events:     make(chan workerEvent, 64),
	}
}

func (r *runner) now() Time { return time.Since(r.startedAt) }

func (r *runner) apply(a Action) {
	switch a.Op {
	case Start:
		process, err := r.start(a.Worker)
		if err != nil {
			r.supervisor.Exited(r.now(), a.Worker, err)
			return
		}
		r.processes[a.Worker] = process
		r.options.Log.Info("worker started", "worker", a.Worker, "pid", process.Pid)
	case Terminate:
		r.processes[a.Worker].Signal(os.Interrupt)
	case Kill:
		r.options.Log.Error("worker killed: no heartbeat, or no exit in time", "worker", a.Worker)
		r.processes[a.Worker].Kill()
	}
}

func (r *runner) handle(e workerEvent) {
	if !e.exited {
		r.supervisor.Heartbeat(r.now(), e.worker)
		return
	}
	r.processes[e.worker] = nil
	r.supervisor.Exited(r.now(), e.worker, e.cause)
	r.options.Log.Warn("worker exited", "worker", e.worker, "error", fmt.Sprint(e.cause), "running", r.supervisor.Running())
}

func (r *runner) forward(sig os.Signal) {
	for _, process := range r.processes {
		if process != nil {
			process.Signal(sig)
		}
	}
}

// start starts worker i, and a goroutine that reports its heartbeats and its exit.
func (r *runner) start(i int) (*os.Process, error) {
	heartbeats, workerEnd, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd := r.options.Command(i)
	cmd.ExtraFiles = append(cmd.ExtraFiles, r.options.Files...)
	cmd.ExtraFiles = append(cmd.ExtraFiles, workerEnd)
	err = cmd.Start()
	workerEnd.Close()
	if err != nil {
		heartbeats.Close()
		return nil, err
	}
	go r.watch(i, cmd, heartbeats)
	return cmd.Process, nil
}

// watch reports the heartbeats of worker i until the worker closes its end of the pipe. It then
// waits for the worker to exit and reports that.
func (r *runner) watch(i int, cmd *exec.Cmd, heartbeats *os.File) {
	defer heartbeats.Close()
	buf := make([]byte, 16)
	for {
		if _, err := heartbeats.Read(buf); err != nil {
			break
		}
		r.events <- workerEvent{worker: i}
	}
	cause := cmd.Wait()
	if cause == nil {
		cause = errExited
	}
	r.events <- workerEvent{worker: i, exited: true, cause: cause}
}
