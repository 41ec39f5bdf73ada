package scenario

import (
	"fmt"
	"path/filepath"
	"time"

	"maddergap/internal/flood"
)

// server is a running instance or node.
type server interface {
	// stop ends it gracefully and returns its result. It does nothing if it was stopped before.
	stop() error
	// kill ends it without a graceful shutdown, as far as a process of its own allows that. It may
	// still be ending when kill returns; launcher.wait waits for it.
	kill()
}

// launcher starts the servers of a scenario.
type launcher interface {
	// startNode starts a node. Its script counts from epoch.
	startNode(node int, addr string, epoch time.Time) (server, error)
	// startInstance starts an instance with a configuration file.
	startInstance(instance int, configFile, addr string) (server, error)
	// flood runs a flood and returns its statistics as a line of text.
	flood(flood.Options) (string, error)
	// wait waits for killed servers that have not ended yet.
	wait()
}

// newLauncher chooses whether servers are processes or run in this one.
func newLauncher(o *Options) launcher {
	if len(o.Exe) == 0 {
		return &inProcessLauncher{plan: o.Plan, dir: o.Dir, newScheduler: o.NewScheduler}
	}
	return &processLauncher{plan: o.Plan, dir: o.Dir, exe: o.Exe, serveArgs: o.ServeArgs}
}

// recordFile is the file that a node records its requests in.
func recordFile(dir string, node int) string {
	return filepath.Join(dir, fmt.Sprintf("node%d.jsonl", node))
}
