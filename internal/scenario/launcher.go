package scenario

import (
	"fmt"
	"path/filepath"
	"time"

	"maddergap/internal/flood"
)

// server is a running instance or node.
type server interface {
	// stop shuts the server down gracefully and returns its result. It does nothing if the server was
	// already stopped or killed.
	stop() error
	// kill ends the server. A process is killed without a graceful shutdown; a server in the calling
	// process shuts down gracefully, and that may still be in progress when kill returns. Use
	// launcher.wait to wait for it.
	kill()
}

// launcher starts the servers of a scenario.
type launcher interface {
	// startNode starts a node. The times in its fault script are relative to epoch.
	startNode(node int, addr string, epoch time.Time) (server, error)
	// startInstance starts an instance with a configuration file.
	startInstance(instance int, configFile, addr string) (server, error)
	// flood runs a flood and returns its statistics as one line.
	flood(flood.Options) (string, error)
	// wait waits until all killed servers have ended.
	wait()
}

// newLauncher returns a launcher that starts processes if Options.Exe is set, and otherwise one that
// runs servers in the calling process.
func newLauncher(o *Options) launcher {
	if len(o.Exe) == 0 {
		return &inProcessLauncher{plan: o.Plan, dir: o.Dir, newScheduler: o.NewScheduler}
	}
	return &processLauncher{plan: o.Plan, dir: o.Dir, exe: o.Exe, serveArgs: o.ServeArgs}
}

// nodeRecordFile returns the name of the file in which a node records its requests.
func nodeRecordFile(dir string, node int) string {
	return filepath.Join(dir, fmt.Sprintf("node%d.jsonl", node))
}
