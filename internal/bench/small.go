package bench

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// testedServer is a process in a comparison.
type testedServer struct {
	name    string
	process *process
	latency *hdrhistogram.Histogram // over all measurements
}

// Small compares gateway and proxy by CPU time and latency of small reads. It then measures the memory of
// idle connections.
func (o *Options) Small() error {
	c, err := o.startComparison()
	if err != nil {
		return err
	}
	defer c.close()
	gateway := &testedServer{"head", c.gateway, newHistogram()}
	proxy := &testedServer{"proxy", c.proxy, newHistogram()}
	fmt.Fprintf(o.Out, "small GETs of %d bytes, %d kept-alive clients, turns of %v\n", o.ResponseSize, o.Clients, o.Duration)
	ratios, err := o.compareSmall(gateway, proxy)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "requests a CPU second, head over proxy: %s\n", formatRatios(ratios))
	fmt.Fprintf(o.Out, "over all turns: head p50 %v p99 %v, proxy p50 %v p99 %v\n",
		percentile(gateway.latency, 50), percentile(gateway.latency, 99),
		percentile(proxy.latency, 50), percentile(proxy.latency, 99))
	// The memory measurement uses a new gateway process, because the memory that the first one already
	// holds would hide the cost of idle connections.
	c.gateway.Kill()
	fresh, err := o.startGateway(1)
	if err != nil {
		return err
	}
	defer fresh.Kill()
	return o.idleMemory(fresh)
}

// compareSmall measures gateway and proxy in alternation after a warm-up. It returns, for each pair of
// measurements, the ratio (gateway to proxy) of the requests served per second of CPU time.
func (o *Options) compareSmall(gateway, proxy *testedServer) (ratios []float64, err error) {
	for _, c := range []*testedServer{gateway, proxy} { // warm-up
		if _, err := o.measureSmall(c); err != nil {
			return nil, err
		}
	}
	for range o.Repeats {
		var perCPUSecond [2]float64
		for i, c := range []*testedServer{gateway, proxy} {
			result, err := o.measureSmall(c)
			if err != nil {
				return nil, err
			}
			perCPUSecond[i] = result.servedPerCPUSecond()
			c.latency.Merge(result.latency)
			fmt.Fprintf(o.Out, "  %-5s %6.0f a CPU second, %6.0f a second, p50 %v p99 %v\n", c.name,
				result.servedPerCPUSecond(), result.servedPerSecond(), percentile(result.latency, 50), percentile(result.latency, 99))
		}
		ratios = append(ratios, perCPUSecond[0]/perCPUSecond[1])
	}
	return ratios, nil
}

// measureSmall makes one measurement. It returns an error if a request was rejected.
func (o *Options) measureSmall(c *testedServer) (*loadResult, error) {
	result, err := c.process.runLoad(o.Clients, o.Duration, smallObjectPath)
	if err == nil && result.rejected > 0 {
		err = fmt.Errorf("%d requests were rejected", result.rejected)
	}
	return result, err
}
