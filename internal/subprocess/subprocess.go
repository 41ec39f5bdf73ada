// Package subprocess runs this program's own commands as child processes, for scenarios, soak runs
// and benchmarks. It starts a process, waits until the process accepts connections, and stops it.
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
	// startTimeout is the time a process has, from its start, to accept connections.
	startTimeout = 5 * time.Second
	// dialInterval is the pause between two attempts to connect to a starting process.
	dialInterval = 5 * time.Millisecond
	// stopTimeout is the time a process has to exit after SIGTERM.
	stopTimeout = 15 * time.Second
	// stackDumpTime is the time a hung process has, after SIGQUIT, to write its goroutine stacks.
	stackDumpTime = 200 * time.Millisecond
)

// ErrStopTimeout is returned by Stop if the process did not exit within stopTimeout and was killed.
var ErrStopTimeout = errors.New("the process did not exit within 15 s of SIGTERM and was killed")

// Process is a started command. The kernel kills it when the process that started it exits.
type Process struct {
	cmd *exec.Cmd
	// exit holds the result of cmd.Wait once the process has exited. It is nil after Stop or Kill.
	exit chan error
}

// Start starts a command and waits until addr accepts connections. The command's standard output
// and standard error go to output. If output is nil, standard output is discarded. The error for
// a command that exits before it accepts connections includes what the command wrote if output is
// a file, and its standard error if output is nil.
func Start(addr string, output io.Writer, argv ...string) (*Process, error) {
	return StartEnv(addr, output, nil, argv...)
}

// StartEnv is like Start but adds environment variables, each in the form "name=value".
func StartEnv(addr string, output io.Writer, env []string, argv ...string) (*Process, error) {
	var captured bytes.Buffer
	cmd := command(argv)
	cmd.Env = append(os.Environ(), env...)
	if output == nil {
		cmd.Stderr = &captured
	} else {
		cmd.Stdout, cmd.Stderr = output, output
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, exit: make(chan error, 1)}
	go func() { p.exit <- cmd.Wait() }()
	listening, err := p.waitListening(addr)
	if err != nil {
		return nil, fmt.Errorf("%v did not start: %v: %s", argv, err, writtenOutput(output, &captured))
	}
	if !listening {
		p.Kill()
		return nil, fmt.Errorf("%v did not accept connections on %s in time", argv, addr)
	}
	return p, nil
}

// command returns a command whose process the kernel kills when this process exits.
func command(argv []string) *exec.Cmd {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// waitListening waits until addr accepts connections and reports whether it did so within
// startTimeout. If the process exits first, waitListening returns the process's result as the error.
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

// errExited is returned by waitListening for a process that exited with status 0.
var errExited = errors.New("exited with status 0")

// writtenOutput returns what a command has written: the content of the file if output is a file, and the
// captured text otherwise.
func writtenOutput(output io.Writer, captured *bytes.Buffer) []byte {
	if f, ok := output.(*os.File); ok {
		text, _ := os.ReadFile(f.Name())
		return bytes.TrimSpace(text)
	}
	return bytes.TrimSpace(captured.Bytes())
}

// Output runs a command, waits for it to exit and returns its standard output. If the command
// fails, the error includes its standard error.
func Output(argv ...string) ([]byte, error) {
	stdout, err := command(argv).Output()
	if exitErr := (*exec.ExitError)(nil); errors.As(err, &exitErr) {
		err = fmt.Errorf("%v: %w: %s", argv, err, bytes.TrimSpace(exitErr.Stderr))
	}
	return stdout, err
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process. It ignores errors, for instance that the process has exited.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Stop sends SIGTERM, waits for the process to exit and returns its result. If the process has not
// exited after stopTimeout, Stop sends SIGQUIT so that a Go program writes its goroutine stacks,
// kills the process and returns ErrStopTimeout. Stop does nothing after an earlier Stop or Kill.
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

// Kill sends SIGKILL and waits for the process to exit. It does nothing after an earlier Stop or Kill.
func (p *Process) Kill() {
	if p.exit == nil {
		return
	}
	p.cmd.Process.Kill()
	<-p.exit
	p.exit = nil
}

// Exited reports whether the process has exited. It returns false after Stop or Kill.
func (p *Process) Exited() bool {
	select {
	case err := <-p.exit:
		p.exit <- err
		return true
	default:
		return false
	}
}

// ExitsWithin waits up to d for the process to exit and reports whether it did.
func (p *Process) ExitsWithin(d time.Duration) bool {
	select {
	case err := <-p.exit:
		p.exit <- err
		return true
	case <-time.After(d):
		return false
	}
}

// CPUTime returns the user and system CPU time of the process. The process must have exited and
// been waited for, as after Stop or Kill.
func (p *Process) CPUTime() time.Duration {
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}
