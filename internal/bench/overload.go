package bench

import (
	"fmt"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/nodelist"
)

// The node of Overload.
const (
	overloadCores      = 4
	overloadQueueLimit = 256
	overloadUnitTime   = 2 * time.Millisecond // that a unit takes a core
	// clientsPerCore keep the node busy without an overload.
	clientsPerCore = 4
)

// Overload measures how many requests a gateway serves from a node that is sent more than it can
// process, against the node alone with as many clients as keep it busy.
func (o *Options) Overload(clientCounts ...int) error {
	node, err := o.startOverloadedNode()
	if err != nil {
		return err
	}
	defer node.Close()
	gateway, err := o.startGateway(1)
	if err != nil {
		return err
	}
	defer gateway.Kill()
	// The CPU time of this sample is the gateway's, which is not asked, and not used.
	nodeAlone := &process{gateway.Process, node.Addr()}
	alone, err := nodeAlone.load(clientsPerCore*overloadCores, o.Duration, smallObjectPath)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "overload: the node alone does %.0f a second (%d cores, 2 ms a unit, queue %d)\n",
		alone.servedPerSecond(), overloadCores, overloadQueueLimit)
	for _, clients := range clientCounts {
		s, err := gateway.load(clients, o.Duration, smallObjectPath)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "  %5d clients: %6.0f served a second, %.1f%% of it, p99 %v; %.0f refused a second\n",
			clients, s.servedPerSecond(), 100*s.servedPerSecond()/alone.servedPerSecond(),
			percentile(s.latency, 99), s.rejectedPerSecond())
	}
	return nil
}

// startOverloadedNode starts the node with smallObject and writes the node list.
func (o *Options) startOverloadedNode() (*fakenode.Node, error) {
	const name = "n0"
	node, err := fakenode.Start(fakenode.Options{
		Listen:        "127.0.0.1:0",
		Name:          name,
		Cores:         overloadCores,
		QueueLimit:    overloadQueueLimit,
		UnitTime:      overloadUnitTime,
		DiscardRecord: true,
	})
	if err != nil {
		return nil, err
	}
	err = o.writeNodeList(nodelist.Node{Name: name, Addr: node.Addr()})
	if err == nil {
		err = o.storeObjects(node.Addr(), smallObject)
	}
	if err != nil {
		node.Close()
		return nil, err
	}
	return node, nil
}
