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

// defaults are the timeouts that the workers of a machine are held to.
var defaults = Config{
	HeartbeatTimeout: 10 * time.Second,
	StartupTimeout:   30 * time.Second,
	BackoffMin:       100 * time.Millisecond,
	BackoffMax:       10 * time.Second,
	StableAfter:      30 * time.Second,
}

const (
	// exitGrace is what a worker has beyond its own shutdown timeout before it is killed.
	exitGrace = 2 * time.Second
	// maxWait bounds one wait for events.
	maxWait = time.Hour
	// FirstInheritedFD is the descriptor of the first file that a process inherits, after its
	// standard streams.
	FirstInheritedFD = 3
)

// Options of a run.
type Options struct {
	Workers int
	// ShutdownTimeout is how long a worker takes for its own graceful shutdown. It is killed
	// exitGrace after that.
	ShutdownTimeout time.Duration
	// Command makes the command of worker i. It inherits Files from descriptor 3 on, and after
	// them the pipe that it sends heartbeats on: see HeartbeatFD.
	Command func(i int) *exec.Cmd
	Files   []*os.File
	// OnShutdown is called when the shutdown begins. Files are not used after it.
	OnShutdown func()
	Log        *slog.Logger
}

// HeartbeatFD is the descriptor that a worker that inherits so many files sends heartbeats on.
func HeartbeatFD(files int) int { return FirstInheritedFD + files }

// workerEvent is a heartbeat of a worker, or its exit.
type workerEvent struct {
	worker int
	exited bool
	cause  error // why it exited, never nil then
}

// errExited is the cause of an exit with status 0.
var errExited = errors.New("it exited by itself")

// Run keeps the workers running until ctx is done and all of them have ended. Each signal that
// arrives is forwarded to every worker. It returns an error if the first worker to exit did so
// before any worker has started properly.
func Run(ctx context.Context, o Options, signals <-chan os.Signal) error {
	r := newRunner(o)
	stop := ctx.Done()
	for {
		actions, next := r.supervisor.Advance(r.now())
		for _, action := range actions {
			r.apply(action)
		}
		if len(actions) > 0 {
			continue // a start that failed asks for more
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

// runner carries out a supervisor's decisions on processes.
type runner struct {
	options    Options
	supervisor *Supervisor
	startedAt  time.Time
	processes  []*os.Process // by worker, nil if not running
	events     chan workerEvent
}

func newRunner(o Options) *runner {
	c := defaults
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

// start starts worker i and watches its heartbeats and its exit.
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

// watch reports the heartbeats of worker i until its end of the pipe is closed, and then its exit.
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
