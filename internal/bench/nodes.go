package bench

import "fmt"

const (
	// objectsPerNode is how many objects there are for each of the larger number of nodes.
	objectsPerNode = 4
	// clientStride is how far apart in the objects two clients begin.
	clientStride = 31
)

// Nodes compares the CPU time of a request with few and with many nodes.
func (o *Options) Nodes(few, many int) error {
	var paths []string
	for i := range objectsPerNode * many {
		paths = append(paths, fmt.Sprintf("/feed/s%d", i))
	}
	var perCPUSecond []float64
	for _, count := range []int{few, many} {
		best, err := o.bestWithNodes(count, paths)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "%d nodes: %.1f us of CPU a request\n", count, 1e6/best)
		perCPUSecond = append(perCPUSecond, best)
	}
	fmt.Fprintf(o.Out, "CPU a request, %d nodes over %d: %.2f\n", many, few, perCPUSecond[0]/perCPUSecond[1])
	return nil
}

// bestWithNodes is the most requests that a gateway serves in a second of CPU time, over all
// measurements after a warm-up.
func (o *Options) bestWithNodes(count int, paths []string) (best float64, err error) {
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
	if _, err := gateway.load(o.Clients, o.Duration, path); err != nil { // a warm-up
		return 0, err
	}
	for range o.Repeats {
		s, err := gateway.load(o.Clients, o.Duration, path)
		if err != nil {
			return 0, err
		}
		best = max(best, s.servedPerCPUSecond())
	}
	return best, nil
}
