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

// initialListDelay is the time that an instance with a node list in its configuration waits for
// discovery before it uses that list. The list may be old, so that requests would go to nodes that are
// gone or draining. If discovery is available, it responds at once.
const initialListDelay = time.Second

// discoverySource is the membershipSource of an instance on a platform: it gets the nodes from
// discovery. If discovery has sent no list after initialListDelay, the source uses the initial list
// from the configuration, if there is one, until discovery sends a list.
type discoverySource struct {
	config  *platform.Config
	log     *slog.Logger
	loop    *eventloop.Loop
	gateway *gateway.Gateway
	client  *discovery.Client

	// initial is the list from the configuration. It is nil once discovery has sent a list, or once
	// the initial list itself has been put into effect.
	initial      []nodelist.Node
	useInitialAt time.Duration // time at which initial is put into effect
	initialUsed  bool          // set once initial has been put into effect

	outages    outageLog
	nodeStates nodeStateLog
}

// newDiscoverySource returns a source that logs the state of the nodes every nodeStateInterval, or
// never if that is 0.
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

// resumeFromInitialList passes the configuration's list to the discovery client, which may ask for the
// changes since that list, and keeps the list in case discovery does not respond.
func (s *discoverySource) resumeFromInitialList() {
	list := s.config.InitialList
	nodes, err := s.client.NodesFromList(list)
	if err != nil {
		s.log.Warn("initial node list rejected", "error", err)
	} else {
		s.client.ResumeFrom(*list.Index, nodes)
	}
	s.initial = nodes
	s.useInitialAt = s.loop.Now() + initialListDelay
	wakeAfter(s.loop, initialListDelay+time.Millisecond)
}

// onWake puts the initial list into effect if discovery has sent no list within initialListDelay.
func (s *discoverySource) onWake() {
	if s.client.Synced() {
		s.initial = nil
		return
	}
	if len(s.initial) > 0 && s.loop.Now() >= s.useInitialAt {
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
