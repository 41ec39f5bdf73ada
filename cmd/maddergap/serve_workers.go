package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"syscall"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/eventloop"
	"maddergap/internal/supervisor"
)

// supervise runs the worker processes of a configuration. It opens the listeners that the workers share,
// starts the workers, and restarts a worker that exits or hangs. It accepts no connections itself. SIGHUP
// is forwarded to all workers; SIGINT and SIGTERM shut them down.
func (s *serveCmd) supervise(c *config.Config, io *streams) error {
	listeners, err := daemon.OpenListeners(c)
	if err != nil {
		return err
	}
	queues := listeners.ListenQueues()
	files, err := inheritableFiles(queues)
	// As long as this process keeps the listeners open, the kernel queues new connections for them.
	// They are therefore closed when a shutdown begins.
	closeListeners := sync.OnceFunc(func() {
		listeners.Close()
		closeFiles(files)
	})
	defer closeListeners()
	if err != nil {
		return err
	}
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	log := slog.New(slog.NewJSONHandler(io.err, nil))
	log.Info("supervising workers", "processes", c.Processes, "listen", c.Listen, "pid", os.Getpid())
	command := func(i int) *exec.Cmd {
		cmd := exec.Command(exe, "serve", "--config", s.Config, "--worker", fmt.Sprint(i), "--queues", formatQueues(queues))
		cmd.Stdout, cmd.Stderr = io.out, io.err
		return cmd
	}
	return supervisor.Run(ctx, supervisor.Options{
		Workers:         c.Processes,
		ShutdownTimeout: c.Timeouts.Shutdown,
		Log:             log,
		Files:           files,
		OnShutdown:      closeListeners,
		Command:         command,
	}, signals)
}

// inheritableFiles duplicates the descriptors of listen queues for workers to inherit. If it returns an
// error, all duplicates have been closed.
func inheritableFiles(queues []eventloop.ListenQueue) ([]*os.File, error) {
	var files []*os.File
	for _, queue := range queues {
		fd, err := syscall.Dup(queue.FD)
		if err != nil {
			closeFiles(files)
			return nil, err
		}
		syscall.CloseOnExec(fd)
		// The blocking mode of a descriptor is shared with its duplicates, and so with the
		// listeners of all workers. If starting a worker set it to blocking, their event loops would
		// hang in accept. os.File never changes the mode of a descriptor that is blocking when the
		// file is created, so the mode is set back to non-blocking only after that.
		syscall.SetNonblock(fd, false)
		files = append(files, os.NewFile(uintptr(fd), "listener"))
		syscall.SetNonblock(fd, true)
	}
	return files, nil
}

func closeFiles(files []*os.File) {
	for _, f := range files {
		f.Close()
	}
}

// formatQueues returns the value of --queues. For each inherited listen queue it has the descriptor in
// the worker, the key of the queue's address, and whether the queue is that of the known clients.
func formatQueues(queues []eventloop.ListenQueue) string {
	var parts []string
	for i, queue := range queues {
		parts = append(parts, fmt.Sprintf("%d:%d:%t", supervisor.FirstInheritedFD+i, queue.AddressKey, queue.KnownClients))
	}
	return strings.Join(parts, ",")
}

// parseQueues parses a value that formatQueues returned.
func parseQueues(text string) (queues []eventloop.ListenQueue, err error) {
	for part := range strings.SplitSeq(text, ",") {
		var queue eventloop.ListenQueue
		fields := strings.ReplaceAll(part, ":", " ")
		if _, err := fmt.Sscanf(fields, "%d %d %t", &queue.FD, &queue.AddressKey, &queue.KnownClients); err != nil {
			return nil, usageError{fmt.Errorf("--queues %q: %w", text, err)}
		}
		queues = append(queues, queue)
	}
	return queues, nil
}

// runWorker serves as one of the worker processes that supervise starts.
func (s *serveCmd) runWorker(c *config.Config, io *streams) error {
	queues, err := parseQueues(s.Queues)
	if err != nil {
		return err
	}
	heartbeat := os.NewFile(uintptr(supervisor.HeartbeatFD(len(queues))), "heartbeat")
	worker := daemon.Worker{Index: s.Worker, Queues: queues, Heartbeat: heartbeat}
	newDaemon := func(log *slog.Logger) (*daemon.Daemon, error) {
		return daemon.NewWorker(worker, c, log, s.options()...)
	}
	return serveConfig(c, io, newDaemon, logServing(c), "worker", s.Worker)
}
