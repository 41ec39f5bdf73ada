package bench

import (
	"fmt"
	"strings"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/nodelist"
)

// Rush measures the cost of a request from few clients to many, head and proxy in
// turns: what waits must not make what goes dearer.
func (o *Options) Rush(clients ...int) error {
	head, proxy, end, err := o.pair()
	if err != nil {
		return err
	}
	defer end()
	fmt.Fprintf(o.Out, "rush: small GETs of %d bytes, turns of %v\n", o.Size, o.Turn)
	first := 0.0
	for _, n := range clients {
		var s [2]Sample
		for i, p := range []*process{head, proxy} {
			if s[i], err = p.load(n, o.Turn, func(int, int) string { return get("/feed/x") }); err != nil {
				return err
			}
		}
		cost := 1e6 / s[0].PerCPU()
		if first == 0 {
			first = cost
		}
		fmt.Fprintf(o.Out, "  %5d clients: head %5.1f us of CPU a request (%.2f of the first), %6.0f a second, p99 %v; proxy %6.0f a second; "+
			"head over proxy: %.2f a second, %.2f a CPU second\n", n, cost, cost/first, s[0].rate(), us(s[0].Hist, 99), s[1].rate(),
			s[0].rate()/s[1].rate(), s[0].PerCPU()/s[1].PerCPU())
	}
	return nil
}

func (s Sample) rate() float64 { return float64(s.Requests) / s.Wall.Seconds() }

// Overload measures what a head gets out of a node that can do less than is asked,
// against what the node does where it is asked directly by as many as it has room for.
func (o *Options) Overload(clients ...int) error {
	const cores, queue = 4, 256
	n, err := fakenode.Start(fakenode.Options{Listen: "127.0.0.1:0", Name: "n0", Cores: cores, QueueLimit: queue, UnitTime: 2 * time.Millisecond, DiscardRecord: true})
	if err != nil {
		return err
	}
	defer n.Close()
	if err := nodelist.Replace(o.Dir+"/nodes.list", []nodelist.Node{{Name: "n0", Addr: n.Addr()}}); err != nil {
		return err
	}
	if err := o.put(n.Addr(), "/feed/x"); err != nil {
		return err
	}
	head, err := o.head(1)
	if err != nil {
		return err
	}
	defer head.Kill()
	request := func(int, int) string { return get("/feed/x") }
	alone, err := (&process{head.Process, n.Addr()}).load(4*cores, o.Turn, request)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "overload: the node alone does %.0f a second (%d cores, 2 ms a unit, queue %d)\n", alone.rate(), cores, queue)
	for _, c := range clients {
		s, err := head.load(c, o.Turn, request)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "  %5d clients: %6.0f served a second, %s of it, p99 %v; %.0f refused a second\n", c, s.rate(),
			strings.TrimSpace(fmt.Sprintf("%.1f%%", 100*s.rate()/alone.rate())), us(s.Hist, 99), float64(s.Refused)/s.Wall.Seconds())
	}
	return nil
}
