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

// shellOptions returns options whose workers run a shell script. In the script, $HEARTBEATS is the
// path of the heartbeat pipe.
func shellOptions(workers int, script string) Options {
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

// Verifies that Run does not restart workers forever if they cannot start, for instance because of
// a mistake in the configuration: it returns the error of the first worker that exits.
func TestRunReturnsFailureToStart(t *testing.T) {
	err := Run(t.Context(), shellOptions(2, "exit 3"), nil)
	if err == nil || !strings.Contains(err.Error(), "failed to start: exit status 3") {
		t.Errorf("got error %v, want one that contains \"failed to start: exit status 3\"", err)
	}
}

// Verifies that Run restarts a worker that exits after it has sent a heartbeat, and that a shutdown
// sends SIGINT to the worker and waits for its exit.
func TestRunRestartsAndShutsDown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	starts := make(chan struct{}, 16)
	o := shellOptions(1, `printf x > $HEARTBEATS; trap 'exit 0' INT; sleep 0.05; [ $N -gt 0 ] || exit 1; while :; do sleep 0.02; done`)
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
			t.Fatal("the worker was not started a second time within 10 s")
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
		t.Fatal("Run did not return within 10 s of a shutdown")
	}
}

// Verifies that a worker notices that its supervisor was killed: SendHeartbeats returns
// ErrParentExited. Otherwise the worker would go on running and keep the listeners open.
func TestHeartbeatsEndWithParent(t *testing.T) {
	parentEnd, workerEnd, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer workerEnd.Close()
	quit := make(chan struct{})
	close(quit)
	if err := SendHeartbeats(workerEnd, func() bool { return true }, quit); err != nil {
		t.Fatalf("with a parent: got %v, want nil", err)
	}
	parentEnd.Close()
	if err := SendHeartbeats(workerEnd, func() bool { return true }, make(chan struct{})); !errors.Is(err, ErrParentExited) {
		t.Errorf("without a parent: got %v, want ErrParentExited", err)
	}
}
