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

// Process is a running command. It dies with the process that started it.
type Process struct {
	cmd *exec.Cmd
	end chan error
}

// Start starts a command and waits until addr takes connections. What it says
// goes to out and, where it does not come up, into the error.
func Start(addr string, out io.Writer, argv ...string) (*Process, error) {
	return StartEnv(addr, out, nil, argv...)
}

// StartEnv is Start with further variables of the environment.
func StartEnv(addr string, out io.Writer, env []string, argv ...string) (*Process, error) {
	var said bytes.Buffer
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	if out == nil {
		cmd.Stdout, cmd.Stderr = nil, &said
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, end: make(chan error, 1)}
	go func() { p.end <- cmd.Wait() }()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			return p, nil
		}
		select {
		case err := <-p.end:
			if f, ok := out.(*os.File); ok {
				text, _ := os.ReadFile(f.Name())
				said.Write(text)
			}
			return nil, fmt.Errorf("%v did not start: %v: %s", argv, err, bytes.TrimSpace(said.Bytes()))
		default:
		}
	}
	p.Kill()
	return nil, fmt.Errorf("%v does not listen on %s", argv, addr)
}

// Output runs a command to its end and returns what it prints; what it says of a
// failure goes into the error.
func Output(argv ...string) ([]byte, error) {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.Output()
	if e := (*exec.ExitError)(nil); errors.As(err, &e) {
		err = fmt.Errorf("%v: %w: %s", argv, err, bytes.TrimSpace(e.Stderr))
	}
	return out, err
}

// Pid is the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Stop asks it to end and waits; one that does not end says where it hangs and is killed.
func (p *Process) Stop() error {
	if p.end == nil {
		return nil
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.end:
		p.end = nil
		return err
	case <-time.After(15 * time.Second):
		p.cmd.Process.Signal(syscall.SIGQUIT)
		time.Sleep(200 * time.Millisecond)
		p.Kill()
		return errors.New("it did not stop in 15 s")
	}
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Ended tells whether it has ended by itself.
func (p *Process) Ended() bool {
	select {
	case err := <-p.end:
		p.end <- err
		return true
	default:
		return false
	}
}

// EndsWithin waits until it has ended, for a while at most.
func (p *Process) EndsWithin(d time.Duration) bool {
	select {
	case err := <-p.end:
		p.end <- err
		return true
	case <-time.After(d):
		return false
	}
}

// Kill ends it at once. Stop and Kill do nothing to one that has ended.
func (p *Process) Kill() {
	if p.end != nil {
		p.cmd.Process.Kill()
		<-p.end
		p.end = nil
	}
}

// CPU is the user and system time of one that has ended.
func (p *Process) CPU() time.Duration {
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}
