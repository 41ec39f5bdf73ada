package daemon

import (
	"log/slog"
	"time"

	"maddergap/internal/discovery"
	"maddergap/internal/eventloop"
	"maddergap/internal/gateway"
	"maddergap/internal/nodelist"
	"maddergap/internal/platform"
)

// initialListDelay is how long an instance with a node list in its configuration waits for
// discovery before it serves by that list. The list may be old: requests would go to nodes that
// are gone or draining. Discovery responds at once if it responds at all.
const initialListDelay = time.Second

// discoverySource follows the nodes by discovery. Until discovery has sent its first list, an
// initial list of the configuration takes its place after initialListDelay.
type discoverySource struct {
	config  *platform.Config
	log     *slog.Logger
	loop    *eventloop.Loop
	gateway *gateway.Gateway
	client  *discovery.Client

	// The initial list, nil once discovery has sent one or this one is in effect.
	initial     []nodelist.Node
	useInitial  time.Duration // when the initial list comes into effect
	initialUsed bool

	outages    outageLog
	nodeStates nodeStateLog
}

// newDiscoverySource returns a source that logs the state of the nodes at an interval, 0 for never.
func newDiscoverySource(c *platform.Config, log *slog.Logger, nodeStateInterval time.Duration) *discoverySource {
	return &discoverySource{config: c, log: log, nodeStates: nodeStateLog{log: log, interval: nodeStateInterval}}
}

func (s *discoverySource) start(loop *eventloop.Loop, g *gateway.Gateway) error {
	s.loop, s.gateway = loop, g
	s.outages = outageLog{log: s.log, startedAt: s.loop.Now()}
	s.client = discovery.New(s.config.DiscoveryAddr, s.config.Settings.Zones, s.config.Gateway.Scheduler.PollDiscovery, s.config.Gateway.Seed)
	protocol := s.config.Protocol()
	if s.config.InitialList != nil {
		s.resumeFromInitialList()
	}
	protocol.Ready = func() bool { return s.client.Synced() || s.initialUsed }
	g.SetProtocol(protocol)
	g.SetMembershipSource(s.client)
	return nil
}

// resumeFromInitialList lets discovery continue from the configuration's list, and keeps it in
// case discovery does not respond.
func (s *discoverySource) resumeFromInitialList() {
	list := s.config.InitialList
	nodes, err := s.client.NodesFromList(list)
	if err != nil {
		s.log.Warn("initial node list rejected", "error", err)
	} else {
		s.client.ResumeFrom(*list.Index, nodes)
	}
	s.initial = nodes
	s.useInitial = s.loop.Now() + initialListDelay
	wakeAfter(s.loop, initialListDelay+time.Millisecond)
}

// onWake puts the initial list into effect if discovery has sent none in time.
func (s *discoverySource) onWake() {
	if s.client.Synced() {
		s.initial = nil
		return
	}
	if len(s.initial) > 0 && s.loop.Now() >= s.useInitial {
		s.gateway.SetNodes(s.loop.Now(), s.initial)
		s.initial = nil
		s.initialUsed = true
	}
}

func (s *discoverySource) onIteration() {
	s.outages.update(s.loop.Now(), s.client.Status())
	s.nodeStates.update(s.loop.Now(), s.client, s.gateway)
}

func (s *discoverySource) background(<-chan struct{}) {}
