package bench

import (
	"fmt"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/nodelist"
)

// Capacity of the node in Overload.
const (
	overloadCores      = 4
	overloadQueueLimit = 256
	overloadUnitTime   = 2 * time.Millisecond // core time that a unit takes
	// clientsPerCore is the number of clients for each core that keeps the node busy without
	// overloading it.
	clientsPerCore = 4
)

// Overload measures how many requests a gateway serves from a node that cannot process all of the
// clients' requests. It compares that with the rate of the node alone, under just as many clients as keep
// it busy.
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
	// The clients connect to the node directly. The result's CPU time is that of the idle gateway process
	// and is not used.
	nodeAlone := &process{gateway.Process, node.Addr()}
	alone, err := nodeAlone.runLoad(clientsPerCore*overloadCores, o.Duration, smallObjectPath)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "overload: the node alone does %.0f a second (%d cores, 2 ms a unit, queue %d)\n",
		alone.servedPerSecond(), overloadCores, overloadQueueLimit)
	for _, clients := range clientCounts {
		result, err := gateway.runLoad(clients, o.Duration, smallObjectPath)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "  %5d clients: %6.0f served a second, %.1f%% of it, p99 %v; %.0f refused a second\n",
			clients, result.servedPerSecond(), 100*result.servedPerSecond()/alone.servedPerSecond(),
			percentile(result.latency, 99), result.rejectedPerSecond())
	}
	return nil
}

// startOverloadedNode starts the node, stores smallObject on it and writes the node list.
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
