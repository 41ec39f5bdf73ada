package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
)

// started are the processes that the case has started, for an early end of the script.
var started struct {
	sync.Mutex
	processes []*process
}

// killStarted ends all processes that the case has started.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.processes {
		p.command.Process.Kill()
	}
}

// process is a program of the project that a case has started.
type process struct {
	command *exec.Cmd
	logPath string
	ended   chan struct{} // closed when the process has ended
	err     error         // how it ended; valid once ended is closed
}

// deployCommand returns a command of the deploy file, which is in the current folder's tree.
func deployCommand(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no %s", key)
	}
	return string(match[1]), nil
}

// startProcess starts a command line by the shell, as the deploy page says. Its output goes to a log in dir. It is called
// on the main thread: the process is killed when that thread ends, however it does.
func startProcess(dir, name, commandLine string, environment ...string) (*process, error) {
	p := &process{command: exec.Command("/bin/sh", "-c", commandLine), logPath: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	logFile, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = logFile, logFile
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started.Lock()
	defer started.Unlock()
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	started.processes = append(started.processes, p)
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for it.
func (p *process) kill() {
	p.command.Process.Kill()
	<-p.ended
}

// log returns the output of the process so far.
func (p *process) log() string {
	text, _ := os.ReadFile(p.logPath)
	return strings.TrimSpace(string(text))
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
