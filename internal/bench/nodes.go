package bench

import "fmt"

const (
	// objectsPerNode is the number of objects for each node of the larger gateway that Nodes
	// measures. The smaller one has the same objects.
	objectsPerNode = 4
	// clientStride is the difference between the indexes of the objects that two consecutive clients
	// request first. Each client then requests the objects in order.
	clientStride = 31
)

// Nodes compares the CPU time per request between gateways with few and with many nodes.
func (o *Options) Nodes(few, many int) error {
	var paths []string
	for i := range objectsPerNode * many {
		paths = append(paths, fmt.Sprintf("/feed/s%d", i))
	}
	var perCPUSecond []float64
	for _, count := range []int{few, many} {
		best, err := o.bestRateWithNodes(count, paths)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "%d nodes: %.1f us of CPU a request\n", count, 1e6/best)
		perCPUSecond = append(perCPUSecond, best)
	}
	fmt.Fprintf(o.Out, "CPU a request, %d nodes over %d: %.2f\n", many, few, perCPUSecond[0]/perCPUSecond[1])
	return nil
}

// bestRateWithNodes measures a gateway with count nodes after a warm-up. It returns the highest number of
// requests per second of CPU time over all measurements.
func (o *Options) bestRateWithNodes(count int, paths []string) (best float64, err error) {
	nodes, err := o.startNodes(count)
	if err != nil {
		return 0, err
	}
	defer closeNodes(nodes)
	gateway, err := o.startGateway(count)
	if err != nil {
		return 0, err
	}
	defer gateway.Kill()
	if err := o.storeObjects(gateway.addr, paths...); err != nil {
		return 0, err
	}
	path := func(client, request int) string { return paths[(client*clientStride+request)%len(paths)] }
	if _, err := gateway.runLoad(o.Clients, o.Duration, path); err != nil { // warm-up
		return 0, err
	}
	for range o.Repeats {
		result, err := gateway.runLoad(o.Clients, o.Duration, path)
		if err != nil {
			return 0, err
		}
		best = max(best, result.servedPerCPUSecond())
	}
	return best, nil
}
