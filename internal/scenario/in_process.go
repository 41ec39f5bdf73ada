package scenario

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/fakenode"
	"maddergap/internal/flood"
)

// inProcessLauncher starts servers in the calling process.
type inProcessLauncher struct {
	plan         *Plan
	dir          string
	newScheduler daemon.SchedulerFactory
	shutdowns    sync.WaitGroup // shutdowns of killed instances that are in progress
}

func (l *inProcessLauncher) startNode(node int, addr string, epoch time.Time) (server, error) {
	n, err := fakenode.Start(fakenode.Options{
		Listen:          addr,
		Name:            nodeName(node),
		RecordFile:      nodeRecordFile(l.dir, node),
		Epoch:           epoch,
		Script:          l.plan.Scripts[node],
		Cores:           nodeCores,
		QueueLimit:      nodeQueueLimit,
		UnitBytes:       unitBytes,
		UnitTime:        unitTime,
		WarmupDuration:  l.plan.WarmupDuration,
		InitialFraction: slowStartFraction,
		OverloadFactor:  overloadFactor,
		OverloadWindow:  overloadWindow,
	})
	if err != nil {
		return nil, err
	}
	return &inProcessNode{node: n}, nil
}

func (l *inProcessLauncher) startInstance(_ int, configFile, _ string) (server, error) {
	c, err := config.Load(configFile)
	if err != nil {
		return nil, err
	}
	d, err := daemon.New(c, slog.New(slog.DiscardHandler), daemon.WithScheduler(l.newScheduler))
	if err != nil {
		return nil, err
	}
	instance := &inProcessInstance{daemon: d, result: make(chan error, 1), shutdowns: &l.shutdowns}
	go func() { instance.result <- d.Run() }()
	return instance, nil
}

func (l *inProcessLauncher) flood(o flood.Options) (string, error) {
	result, err := flood.Run(o)
	if err != nil {
		return "", err
	}
	return formatFloodStats(result.Flood), nil
}

func (l *inProcessLauncher) wait() { l.shutdowns.Wait() }

// formatFloodStats returns the line that Stats.Write prints, without the name.
func formatFloodStats(stats *flood.Stats) string {
	var b strings.Builder
	stats.Write(&b, "")
	return strings.TrimSpace(b.String())
}

// inProcessNode is a node that runs in the calling process.
type inProcessNode struct {
	node    *fakenode.Node
	stopped bool
}

func (n *inProcessNode) stop() error {
	if n.stopped {
		return nil
	}
	n.stopped = true
	return n.node.Close()
}

func (n *inProcessNode) kill() { n.stop() }

// inProcessInstance is an instance that runs in the calling process.
type inProcessInstance struct {
	daemon    *daemon.Daemon
	result    chan error      // result of daemon.Run
	stopped   bool            // set by the first call of stop or kill; only that call receives from result
	shutdowns *sync.WaitGroup // inProcessLauncher.shutdowns
}

func (i *inProcessInstance) stop() error {
	if i.stopped {
		return nil
	}
	i.stopped = true
	i.daemon.Stop()
	return <-i.result
}

// kill starts the shutdown of the instance and returns at once, so that the schedule is not delayed.
func (i *inProcessInstance) kill() {
	i.daemon.Stop()
	if !i.stopped {
		i.stopped = true
		i.shutdowns.Go(func() { <-i.result })
	}
}
