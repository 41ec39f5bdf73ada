package bench

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// contestant is a process of a comparison with its latencies over all measurements.
type contestant struct {
	name    string
	process *process
	latency *hdrhistogram.Histogram
}

// Small compares gateway and proxy by the CPU time and the latency of small reads. Then it
// measures the memory of idle connections.
func (o *Options) Small() error {
	c, err := o.startComparison()
	if err != nil {
		return err
	}
	defer c.close()
	gateway := &contestant{"head", c.gateway, newHistogram()}
	proxy := &contestant{"proxy", c.proxy, newHistogram()}
	fmt.Fprintf(o.Out, "small GETs of %d bytes, %d kept-alive clients, turns of %v\n", o.ResponseSize, o.Clients, o.Duration)
	ratios, err := o.compareSmall(gateway, proxy)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "requests a CPU second, head over proxy: %s\n", formatRatios(ratios))
	fmt.Fprintf(o.Out, "over all turns: head p50 %v p99 %v, proxy p50 %v p99 %v\n",
		percentile(gateway.latency, 50), percentile(gateway.latency, 99),
		percentile(proxy.latency, 50), percentile(proxy.latency, 99))
	// Memory that the gateway holds by now would hide the cost of idle connections.
	c.gateway.Kill()
	fresh, err := o.startGateway(1)
	if err != nil {
		return err
	}
	defer fresh.Kill()
	return o.idleMemory(fresh)
}

// compareSmall measures gateway and proxy in alternation, after a warm-up, and returns the ratios
// of the requests that they serve in a second of CPU time.
func (o *Options) compareSmall(gateway, proxy *contestant) (ratios []float64, err error) {
	for _, c := range []*contestant{gateway, proxy} { // a warm-up
		if _, err := o.loadSmall(c); err != nil {
			return nil, err
		}
	}
	for range o.Repeats {
		var perCPUSecond [2]float64
		for i, c := range []*contestant{gateway, proxy} {
			s, err := o.loadSmall(c)
			if err != nil {
				return nil, err
			}
			perCPUSecond[i] = s.servedPerCPUSecond()
			c.latency.Merge(s.latency)
			fmt.Fprintf(o.Out, "  %-5s %6.0f a CPU second, %6.0f a second, p50 %v p99 %v\n", c.name,
				s.servedPerCPUSecond(), s.servedPerSecond(), percentile(s.latency, 50), percentile(s.latency, 99))
		}
		ratios = append(ratios, perCPUSecond[0]/perCPUSecond[1])
	}
	return ratios, nil
}

// loadSmall is one measurement. A rejected request is an error.
func (o *Options) loadSmall(c *contestant) (*sample, error) {
	s, err := c.process.load(o.Clients, o.Duration, smallObjectPath)
	if err == nil && s.rejected > 0 {
		err = fmt.Errorf("%d requests were rejected", s.rejected)
	}
	return s, err
}
