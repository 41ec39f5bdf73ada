package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/eventloop"
	"maddergap/internal/supervisor"
)

// supervise runs the processes of a configuration: it opens the listeners, which they
// share, starts them and starts again the one that ends or hangs. It serves nothing
// itself. SIGHUP goes to all of them.
func (s *serveCmd) supervise(c *config.Config, io *streams) error {
	l, err := daemon.Listeners(c)
	if err != nil {
		return err
	}
	var files []*os.File
	var queues []string
	for i, q := range l.ListenQueues() {
		fd, err := syscall.Dup(q.FD)
		if err != nil {
			return err
		}
		syscall.CloseOnExec(fd)
		// A file made of a descriptor that does not block is set to block when it is
		// handed on, and so would be the listener of every process.
		syscall.SetNonblock(fd, false)
		files = append(files, os.NewFile(uintptr(fd), "listener"))
		syscall.SetNonblock(fd, true)
		queues = append(queues, fmt.Sprintf("%d:%d:%t", 3+i, q.AddressKey, q.KnownClients))
	}
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	closed := false
	shut := func() { // the kernel takes no more connections
		if closed {
			return
		}
		closed = true
		l.Close()
		for _, f := range files {
			f.Close()
		}
	}
	defer shut()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	log := slog.New(slog.NewJSONHandler(io.err, nil))
	log.Info("processes share the listeners", "processes", c.Processes, "listen", c.Listen, "pid", os.Getpid())
	return supervisor.Run(ctx, supervisor.Options{Workers: c.Processes, StopTime: c.Timeouts.Shutdown, Log: log, Files: files, Stopped: shut,
		Command: func(i int) *exec.Cmd {
			cmd := exec.Command(exe, "serve", "--config", s.Config, "--worker", fmt.Sprint(i), "--queues", strings.Join(queues, ","))
			cmd.Stdout, cmd.Stderr = io.out, io.err
			return cmd
		}}, signals)
}

// worker is what a process inherits, nil for one by itself.
func (s *serveCmd) worker() (*daemon.Worker, error) {
	if s.Worker < 0 {
		return nil, nil
	}
	w := &daemon.Worker{Index: s.Worker}
	for part := range strings.SplitSeq(s.Queues, ",") {
		var q eventloop.ListenQueue
		if _, err := fmt.Sscanf(strings.ReplaceAll(part, ":", " "), "%d %d %t", &q.FD, &q.AddressKey, &q.KnownClients); err != nil {
			return nil, usage{fmt.Errorf("--queues %q: %w", s.Queues, err)}
		}
		w.Queues = append(w.Queues, q)
	}
	w.Beat = os.NewFile(uintptr(supervisor.BeatFD(len(w.Queues))), "beat")
	return w, nil
}
