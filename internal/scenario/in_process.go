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

// inProcessLauncher runs servers in this process.
type inProcessLauncher struct {
	plan         *Plan
	dir          string
	newScheduler daemon.SchedulerFactory
	ending       sync.WaitGroup // of instances that were killed
}

func (l *inProcessLauncher) startNode(node int, addr string, epoch time.Time) (server, error) {
	n, err := fakenode.Start(fakenode.Options{
		Listen:          addr,
		Name:            nodeName(node),
		RecordFile:      recordFile(l.dir, node),
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
	instance := &inProcessInstance{daemon: d, result: make(chan error, 1), ending: &l.ending}
	go func() { instance.result <- d.Run() }()
	return instance, nil
}

func (l *inProcessLauncher) flood(o flood.Options) (string, error) {
	result, err := flood.Run(o)
	if err != nil {
		return "", err
	}
	return floodLine(result.Flood), nil
}

func (l *inProcessLauncher) wait() { l.ending.Wait() }

// floodLine is the line that flood.Stats.Write prints, without a name.
func floodLine(stats *flood.Stats) string {
	var b strings.Builder
	stats.Write(&b, "")
	return strings.TrimSpace(b.String())
}

// inProcessNode is a node in this process.
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

// inProcessInstance is an instance in this process.
type inProcessInstance struct {
	daemon  *daemon.Daemon
	result  chan error // of Run
	stopped bool       // result is received, or will be by kill
	ending  *sync.WaitGroup
}

func (i *inProcessInstance) stop() error {
	if i.stopped {
		return nil
	}
	i.stopped = true
	i.daemon.Stop()
	return <-i.result
}

// kill returns at once, so that the schedule goes on while the instance shuts down.
func (i *inProcessInstance) kill() {
	i.daemon.Stop()
	if !i.stopped {
		i.stopped = true
		i.ending.Go(func() { <-i.result })
	}
}
