package soak

import (
	"fmt"
	"io"
	"time"

	"maddergap/internal/discovery"
	"maddergap/internal/discoverytest"
	"maddergap/internal/loopback"
)

// What MeasureNodeLists does for each size of a list.
const (
	listOutages        = 8 // of discovery, each with one change
	listOutageDuration = 1500 * time.Millisecond
	listRecoveryTime   = time.Second // after each outage
	listNetwork        = 250         // of the instance's loopback address
	listNodesPerShard  = 4
)

// MeasureNodeLists measures what one instance uses for node lists of each size, without clients,
// while outages of discovery end with a change of one node. It prints a line for each size.
func MeasureNodeLists(exe []string, dir string, sizes []int, out io.Writer) error {
	fmt.Fprintf(out, "members: %d outages of %v with one change each\n", listOutages, listOutageDuration)
	for _, size := range sizes {
		if err := measureNodeList(exe, dir, size, out); err != nil {
			return err
		}
	}
	return nil
}

func measureNodeList(exe []string, dir string, size int, out io.Writer) error {
	registry := discoverytest.NewRegistry()
	endpoints := listedEndpoints(size)
	registry.ReplaceAll(endpoints...)
	d := drawDeployment(&Options{Seed: 1, Instances: 1, Nodes: minNodes})
	i, err := newInstance(0, loopback.Addr(listNetwork, 1, instancePort), registry.NewAgent(0), d, exe, dir)
	if err != nil {
		return err
	}
	defer i.close()
	if err := i.start(); err != nil {
		return err
	}
	for round := range listOutages {
		i.agent.StartOutage()
		time.Sleep(listOutageDuration)
		status := []string{endpointDraining, endpointUp}[round%2]
		registry.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = status }, endpoints[0].Name)
		i.agent.EndOutage()
		time.Sleep(listRecoveryTime)
	}
	used, err := readProcessUsage(i.process.Pid())
	if err != nil {
		return err
	}
	calls := i.agent.Usage()
	fmt.Fprintf(out, "  %5d nodes: CPU %.2f s, peak %.1f MB, %d descriptors, %d answers of %d KB in all\n", size, used.cpuTime.Seconds(),
		float64(used.peakKB)/1024, used.descriptors, calls.Calls, calls.ResponseBytes/1024)
	return nil
}

// listedEndpoints returns a list of nodes at which nothing listens.
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
