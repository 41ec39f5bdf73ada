// Package subprocess runs the program's own commands as processes, for rehearsals and
// measurements: it starts one, waits until it listens, and ends it.
package subprocess

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"time"
)

const (
	// startTimeout is how long a process may take until it listens.
	startTimeout = 5 * time.Second
	// dialInterval is how often it is tried meanwhile.
	dialInterval = 5 * time.Millisecond
	// stopTimeout is how long a process may take to end after SIGTERM.
	stopTimeout = 15 * time.Second
	// stackDumpTime is what a process that hangs is given to write its goroutines' stacks.
	stackDumpTime = 200 * time.Millisecond
)

// ErrStopTimeout is returned by Stop for a process that did not end and was killed.
var ErrStopTimeout = errors.New("it did not stop in 15 s")

// Process is a running command. The kernel kills it when the process that started it ends.
type Process struct {
	cmd *exec.Cmd
	// exit holds the result of the process once it has exited. It is nil after Stop or Kill.
	exit chan error
}

// Start starts a command and waits until addr accepts connections. The command's output goes to
// out; if out is nil, or a file, it is in the error of a command that exits before.
func Start(addr string, out io.Writer, argv ...string) (*Process, error) {
	return StartEnv(addr, out, nil, argv...)
}

// StartEnv is Start with further environment variables, each as "name=value".
func StartEnv(addr string, out io.Writer, env []string, argv ...string) (*Process, error) {
	var captured bytes.Buffer
	cmd := command(argv)
	cmd.Env = append(os.Environ(), env...)
	if out == nil {
		cmd.Stderr = &captured
	} else {
		cmd.Stdout, cmd.Stderr = out, out
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, exit: make(chan error, 1)}
	go func() { p.exit <- cmd.Wait() }()
	listening, err := p.waitListening(addr)
	if err != nil {
		return nil, fmt.Errorf("%v did not start: %v: %s", argv, err, output(out, &captured))
	}
	if !listening {
		p.Kill()
		return nil, fmt.Errorf("%v does not listen on %s", argv, addr)
	}
	return p, nil
}

// command makes a command that is killed when this process ends.
func command(argv []string) *exec.Cmd {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// waitListening reports whether addr accepts connections before startTimeout. The error is the
// result of a process that has exited instead.
func (p *Process) waitListening(addr string) (bool, error) {
	deadline := time.Now().Add(startTimeout)
	for ; time.Now().Before(deadline); time.Sleep(dialInterval) {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			return true, nil
		}
		select {
		case err := <-p.exit:
			if err == nil {
				err = errExited
			}
			return false, err
		default:
		}
	}
	return false, nil
}

// errExited is the result of a process that exited with status 0 before it listened.
var errExited = errors.New("it exited with status 0")

// output is what a command has written: to a file, or to captured.
func output(out io.Writer, captured *bytes.Buffer) []byte {
	if f, ok := out.(*os.File); ok {
		text, _ := os.ReadFile(f.Name())
		return bytes.TrimSpace(text)
	}
	return bytes.TrimSpace(captured.Bytes())
}

// Output runs a command to its end and returns its standard output. What a failed one wrote to
// its standard error is in the error.
func Output(argv ...string) ([]byte, error) {
	out, err := command(argv).Output()
	if exitErr := (*exec.ExitError)(nil); errors.As(err, &exitErr) {
		err = fmt.Errorf("%v: %w: %s", argv, err, bytes.TrimSpace(exitErr.Stderr))
	}
	return out, err
}

// Pid is the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Stop sends SIGTERM and waits for the process to exit. One that does not is made to write its
// stacks, killed, and reported by ErrStopTimeout. Stop does nothing after Stop or Kill.
func (p *Process) Stop() error {
	if p.exit == nil {
		return nil
	}
	p.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exit:
		p.exit = nil
		return err
	case <-time.After(stopTimeout):
		p.Signal(syscall.SIGQUIT)
		time.Sleep(stackDumpTime)
		p.Kill()
		return ErrStopTimeout
	}
}

// Kill ends the process at once and waits for it. It does nothing after Stop or Kill.
func (p *Process) Kill() {
	if p.exit == nil {
		return
	}
	p.cmd.Process.Kill()
	<-p.exit
	p.exit = nil
}

// Exited reports whether the process has exited by itself.
func (p *Process) Exited() bool {
	select {
	case err := <-p.exit:
		p.exit <- err
		return true
	default:
		return false
	}
}

// ExitsWithin waits for the process to exit, for d at most, and reports whether it did.
func (p *Process) ExitsWithin(d time.Duration) bool {
	select {
	case err := <-p.exit:
		p.exit <- err
		return true
	case <-time.After(d):
		return false
	}
}

// CPUTime is the user and system time of a process that has exited.
func (p *Process) CPUTime() time.Duration {
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}
