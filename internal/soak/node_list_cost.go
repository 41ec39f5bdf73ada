package soak

import (
	"fmt"
	"io"
	"time"

	"maddergap/internal/discovery"
	"maddergap/internal/discoverytest"
	"maddergap/internal/loopback"
)

// Parameters of MeasureNodeLists. The outages are repeated for each size of a list.
const (
	listOutages        = 8 // number of outages of discovery, each with one change of a node
	listOutageDuration = 1500 * time.Millisecond
	listRecoveryTime   = time.Second // pause after each outage
	listNetwork        = 250         // third byte of the instance's loopback address
	listNodesPerShard  = 4
)

// MeasureNodeLists measures the cost of node lists of each size. It runs an instance without clients
// through several outages of discovery, each with a change of one node. For each size it prints a line
// to out with the CPU time, peak memory and descriptors of the instance, and the number and total size
// of the responses from discovery. exe and dir are as in Run.
func MeasureNodeLists(exe []string, dir string, sizes []int, out io.Writer) error {
	fmt.Fprintf(out, "members: %d outages of %v with one change each\n", listOutages, listOutageDuration)
	for _, size := range sizes {
		if err := measureNodeList(exe, dir, size, out); err != nil {
			return err
		}
	}
	return nil
}

// measureNodeList runs an instance with a node list of one size and prints the line for it.
func measureNodeList(exe []string, dir string, size int, out io.Writer) error {
	registry := discoverytest.NewRegistry()
	endpoints := listedEndpoints(size)
	registry.ReplaceAll(endpoints...)
	d := drawDeployment(&Options{Seed: 1, Instances: 1, Nodes: minNodes})
	inst, err := newInstance(0, loopback.Addr(listNetwork, 1, instancePort), registry.NewAgent(0), d, exe, dir)
	if err != nil {
		return err
	}
	defer inst.close()
	if err := inst.start(); err != nil {
		return err
	}
	for outage := range listOutages {
		inst.agent.StartOutage()
		time.Sleep(listOutageDuration)
		status := []string{endpointDraining, endpointUp}[outage%2]
		registry.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = status }, endpoints[0].Name)
		inst.agent.EndOutage()
		time.Sleep(listRecoveryTime)
	}
	used, err := readProcessUsage(inst.process.Pid())
	if err != nil {
		return err
	}
	agentUsage := inst.agent.Usage()
	fmt.Fprintf(out, "  %5d nodes: CPU %.2f s, peak %.1f MB, %d descriptors, %d answers of %d KB in all\n", size, used.cpuTime.Seconds(),
		float64(used.peakKB)/1024, used.descriptors, agentUsage.Calls, agentUsage.ResponseBytes/1024)
	return nil
}

// listedEndpoints returns a list of nodes. Nothing listens at their addresses.
func listedEndpoints(size int) (endpoints []discovery.Endpoint) {
	const perNetwork = 250
	for i := range size {
		endpoints = append(endpoints, discovery.Endpoint{
			Name:    fmt.Sprintf("s-%08x", i),
			Address: fmt.Sprintf("127.200.%d.%d:8000", i/perNetwork, i%perNetwork+1),
			Zone:    zones[0],
			Group:   i / listNodesPerShard,
			Status:  endpointUp,
		})
	}
	return endpoints
}
