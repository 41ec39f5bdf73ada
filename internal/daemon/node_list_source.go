package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/eventloop"
	"maddergap/internal/gateway"
	"maddergap/internal/nodelist"
)

// nodeListPollInterval is how often the node list is read again without a notification. It
// guards against a notification that is lost or never comes, as on some network file systems:
// the list would be out of date until its next change.
const nodeListPollInterval = 5 * time.Second

// nodeListSource reads the nodes from a file and follows its changes. A list that cannot be read
// or has a mistake is logged, and the last good one stays in effect.
type nodeListSource struct {
	path    string
	log     *slog.Logger
	loop    *eventloop.Loop
	gateway *gateway.Gateway
	text    []byte          // as last read, good or not; the same text is not applied again
	initial []nodelist.Node // until start
	pollDue atomic.Bool     // set by background
}

// newNodeListSource reads the first list, which has to be good.
func newNodeListSource(path string, log *slog.Logger) (*nodeListSource, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	nodes, err := nodelist.Parse(path, text)
	if err != nil {
		return nil, err
	}
	return &nodeListSource{path: path, log: log, text: text, initial: nodes}, nil
}

func (s *nodeListSource) start(loop *eventloop.Loop, g *gateway.Gateway) error {
	s.loop, s.gateway = loop, g
	s.gateway.SetNodes(s.loop.Now(), s.initial)
	s.initial = nil
	s.loop.OnFileChange = s.refresh
	return s.loop.WatchFile(s.path)
}

func (s *nodeListSource) onWake() {
	if s.pollDue.Swap(false) {
		s.refresh()
	}
}

func (s *nodeListSource) onIteration() {}

func (s *nodeListSource) background(quit <-chan struct{}) {
	ticker := time.NewTicker(nodeListPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-quit:
			return
		case <-ticker.C:
			s.pollDue.Store(true)
			s.loop.Wake()
		}
	}
}

// refresh reads the list and applies it if it changed.
func (s *nodeListSource) refresh() {
	text, err := os.ReadFile(s.path)
	if err == nil && bytes.Equal(text, s.text) {
		return
	}
	s.text = text
	var nodes []nodelist.Node
	if err == nil {
		nodes, err = nodelist.Parse(s.path, text)
	}
	if err != nil {
		s.log.Error("node list rejected; the last good list stays in effect", "error", err)
		return
	}
	s.log.Info("node list applied", "nodes", len(nodes))
	s.gateway.SetNodes(s.loop.Now(), nodes)
}

// CheckNodes reads the node list of a configuration and checks that every shard of every volume
// has a node. It returns the number of nodes; mistakes are joined errors of type *config.Error.
func CheckNodes(c *config.Config) (int, error) {
	text, err := os.ReadFile(c.NodeList)
	if err != nil {
		return 0, err
	}
	nodes, err := nodelist.Parse(c.NodeList, text)
	if err != nil {
		return 0, err
	}
	hasNode := map[int]bool{}
	for _, n := range nodes {
		hasNode[n.Shard] = true
	}
	var errs []error
	for _, v := range c.Volumes {
		for _, shard := range v.Shards {
			if !hasNode[shard] {
				errs = append(errs, &config.Error{File: c.NodeList, Reason: fmt.Sprintf("no node has shard %d of volume %s", shard, v.Name)})
			}
		}
	}
	return len(nodes), errors.Join(errs...)
}
