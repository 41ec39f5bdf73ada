package supervisor

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// shell returns options whose workers run a shell script; $HEARTBEATS is the heartbeat pipe.
func shell(workers int, script string) Options {
	return Options{
		Workers:    workers,
		OnShutdown: func() {},
		Log:        slog.New(slog.DiscardHandler),
		Command: func(int) *exec.Cmd {
			cmd := exec.Command("sh", "-c", script)
			cmd.Env = append(os.Environ(), "HEARTBEATS=/dev/fd/3")
			return cmd
		},
	}
}

// A configuration that no worker can start with must not be tried for good: Run returns the
// error of the first worker, and all have ended.
func TestRunReturnsFailureToStart(t *testing.T) {
	err := Run(t.Context(), shell(2, "exit 3"), nil)
	if err == nil || !strings.Contains(err.Error(), "failed to start: exit status 3") {
		t.Errorf("got %v", err)
	}
}

// A worker that has sent a heartbeat and exits is restarted, and a shutdown interrupts the
// workers and waits for them.
func TestRunRestartsAndShutsDown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	starts := make(chan struct{}, 16)
	o := shell(1, `printf x > $HEARTBEATS; trap 'exit 0' INT; sleep 0.05; [ $N -gt 0 ] || exit 1; while :; do sleep 0.02; done`)
	command := o.Command
	n := 0
	o.Command = func(i int) *exec.Cmd {
		cmd := command(i)
		cmd.Env = append(cmd.Env, "N="+string(rune('0'+n)))
		n++
		starts <- struct{}{}
		return cmd
	}
	done := make(chan error, 1)
	go func() { done <- Run(ctx, o, nil) }()
	for range 2 {
		select {
		case <-starts:
		case <-time.After(10 * time.Second):
			t.Fatal("the worker is not started twice")
		}
	}
	time.Sleep(50 * time.Millisecond)
	cancel()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Run does not return after a shutdown")
	}
}

// A worker outlives its supervisor, which was killed. It has to notice, as it holds the
// listeners: its heartbeats fail.
func TestHeartbeatsEndWithParent(t *testing.T) {
	parentEnd, workerEnd, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer workerEnd.Close()
	quit := make(chan struct{})
	close(quit)
	if err := SendHeartbeats(workerEnd, func() bool { return true }, quit); err != nil {
		t.Fatalf("with a parent: %v", err)
	}
	parentEnd.Close()
	if err := SendHeartbeats(workerEnd, func() bool { return true }, make(chan struct{})); !errors.Is(err, ErrParentGone) {
		t.Errorf("without a parent: %v", err)
	}
}
