package bench

import "fmt"

// Rush compares gateway and proxy for each of the given numbers of clients. The gateway's CPU time per
// request should not grow with the number of waiting requests.
func (o *Options) Rush(clientCounts ...int) error {
	c, err := o.startComparison()
	if err != nil {
		return err
	}
	defer c.close()
	fmt.Fprintf(o.Out, "rush: small GETs of %d bytes, turns of %v\n", o.ResponseSize, o.Duration)
	firstCost := 0.0
	for _, clients := range clientCounts {
		gateway, err := c.gateway.runLoad(clients, o.Duration, smallObjectPath)
		if err != nil {
			return err
		}
		proxy, err := c.proxy.runLoad(clients, o.Duration, smallObjectPath)
		if err != nil {
			return err
		}
		cost := gateway.cpuMicrosPerRequest()
		if firstCost == 0 {
			firstCost = cost
		}
		fmt.Fprintf(o.Out, "  %5d clients: head %5.1f us of CPU a request (%.2f of the first), %6.0f a second, p99 %v; "+
			"proxy %6.0f a second; head over proxy: %.2f a second, %.2f a CPU second\n",
			clients, cost, cost/firstCost, gateway.servedPerSecond(), percentile(gateway.latency, 99),
			proxy.servedPerSecond(), gateway.servedPerSecond()/proxy.servedPerSecond(),
			gateway.servedPerCPUSecond()/proxy.servedPerCPUSecond())
	}
	return nil
}
