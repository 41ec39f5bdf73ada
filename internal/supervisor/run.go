package supervisor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"time"
)

// What a machine's workers are held to.
var standard = Config{Hung: 10 * time.Second, Rise: 30 * time.Second, PauseMin: 100 * time.Millisecond, PauseMax: 10 * time.Second, Lived: 30 * time.Second}

// BeatEvery is how often a worker beats.
const BeatEvery = time.Second

// Options of a run.
type Options struct {
	Workers  int
	StopTime time.Duration
	// Command makes the command of a worker; files are what it inherits, from
	// descriptor 3 on, before the pipe that it beats on.
	Command func(i int) *exec.Cmd
	Files   []*os.File
	Stopped func() // called when the end begins; Files are not used after it
	Log     *slog.Logger
}

// BeatFD is the descriptor that a worker beats on, where so many files come before it.
func BeatFD(files int) int { return 3 + files }

type news struct {
	worker int
	ended  bool
	err    error
}

// Run keeps the workers up until ctx is done; each signal that comes is passed on.
func Run(ctx context.Context, o Options, signals <-chan os.Signal) error {
	c := standard
	c.Workers, c.StopTime = o.Workers, o.StopTime+2*time.Second
	began := time.Now()
	now := func() Time { return time.Since(began) }
	s := New(c, 0)
	told := make(chan news, 64)
	running := make([]*os.Process, o.Workers)
	stop := ctx.Done()
	for {
		acts, next := s.Advance(now())
		for _, a := range acts {
			switch a.Op {
			case Start:
				p, err := start(o, a.Worker, told)
				if err != nil {
					s.Ended(now(), a.Worker, err)
					continue
				}
				running[a.Worker] = p
				o.Log.Info("worker started", "worker", a.Worker, "pid", p.Pid)
			case Term:
				running[a.Worker].Signal(os.Interrupt)
			case Kill:
				o.Log.Error("worker killed: no sign of life, or no end in time", "worker", a.Worker)
				running[a.Worker].Kill()
			}
		}
		if len(acts) > 0 {
			continue // what failed to start is looked at again
		}
		if done, err := s.Done(); done {
			return err
		}
		timer := time.NewTimer(min(max(next-now(), 0), time.Hour))
		select {
		case n := <-told:
			switch {
			case !n.ended:
				s.Beat(now(), n.worker)
			default:
				running[n.worker] = nil
				s.Ended(now(), n.worker, n.err)
				o.Log.Warn("worker ended", "worker", n.worker, "cause", fmt.Sprint(n.err), "up", s.Up())
			}
		case sig := <-signals:
			for _, p := range running {
				if p != nil {
					p.Signal(sig)
				}
			}
		case <-stop:
			stop = nil
			s.Stop(now())
			o.Stopped()
		case <-timer.C:
		}
		timer.Stop()
	}
}

// start starts a worker and tells of its beats and its end.
func start(o Options, i int, told chan<- news) (*os.Process, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd := o.Command(i)
	cmd.ExtraFiles = append(cmd.ExtraFiles, o.Files...)
	cmd.ExtraFiles = append(cmd.ExtraFiles, w)
	err = cmd.Start()
	w.Close()
	if err != nil {
		r.Close()
		return nil, err
	}
	go func() {
		defer r.Close()
		b := make([]byte, 16)
		for {
			if _, err := r.Read(b); err != nil {
				err = cmd.Wait()
				if err == nil {
					err = errors.New("it ended by itself")
				}
				told <- news{i, true, err}
				return
			}
			told <- news{worker: i}
		}
	}()
	return cmd.Process, nil
}

// Beat beats on a worker's pipe until quit; alive is asked each time and answers
// from the loop that does the work, so that one that hangs is not heard. It returns
// when the other end is gone, with io.EOF.
func Beat(f *os.File, alive func() bool, quit <-chan struct{}) error {
	tick := time.NewTicker(BeatEvery)
	defer tick.Stop()
	for {
		if alive() {
			if _, err := f.Write([]byte{1}); err != nil {
				return io.EOF
			}
		}
		select {
		case <-tick.C:
		case <-quit:
			return nil
		}
	}
}
