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

// nodeListPollInterval is the interval at which the node list is read without a change notification.
// Notifications may be lost, and some network file systems send none. Without polling, the nodes
// would then be out of date until the next notification.
const nodeListPollInterval = 5 * time.Second

// nodeListSource is the membershipSource that reads the nodes from a file, and reads the file again when
// it changes. If the file cannot be read or parsed, the error is logged and the last valid list stays in
// effect.
type nodeListSource struct {
	path      string
	log       *slog.Logger
	loop      *eventloop.Loop
	gateway   *gateway.Gateway
	text      []byte          // content of the file as last read, valid or not; unchanged text is not applied again
	initial   []nodelist.Node // first list; nil after start
	isPollDue atomic.Bool     // set by background, cleared by onWake
}

// newNodeListSource reads the node list at path. It returns an error if the list is not valid.
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
	if s.isPollDue.Swap(false) {
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
			s.isPollDue.Store(true)
			s.loop.Wake()
		}
	}
}

// refresh reads the file, and applies its list if the text has changed and is valid.
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

// CheckNodes reads the node list of a configuration and checks that each shard of each volume has a
// node. It returns the number of nodes. Mistakes in the list and shards without a node are reported as
// joined errors of type *config.Error.
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
