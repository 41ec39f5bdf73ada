package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/flood"
	"maddergap/internal/loopback"
)

// floodCmd floods a running instance, or starts instances and measures how they serve well-behaved
// clients during a flood.
type floodCmd struct {
	Target  string        `help:"Instance to flood, a loopback address; without it instances of its own are measured: calm, flooded, and flooded with admission off."`
	Path    string        `default:"/feed-a/segment" help:"Path that is read."`
	Pattern string        `default:"hold" enum:"hold,close,slow-header,slow-body,slow-reader,greed,hoard" help:"hold, close, slow-header, slow-body, slow-reader, greed or hoard."`
	Sources int           `default:"1" help:"Source addresses of the flood."`
	Tries   int           `default:"10000" help:"Connections that the flood tries."`
	AtOnce  int           `default:"1000" help:"Connections at once."`
	Length  time.Duration `default:"8s" help:"How long."`
	Known   int           `default:"20" help:"Known clients, from 127.9.0.1 on."`
	Others  int           `default:"20" help:"Clients that behave alike but are on no list, from 127.10.1.1 on, one of each prefix."`
	JSON    bool          `help:"With --target: the result of the flood as JSON."`
	Gap     time.Duration `default:"20ms" help:"Gap between a known client's connections."`
}

const (
	maxFloodSources = 50_000
	maxFloodClients = 1000 // limit for the known clients, and for the others
	// floodNetwork is the network argument of loopback.Addr for the instances that floodCmd starts.
	floodNetwork = 97
	floodPort    = 18000
)

// Run floods the target, or starts and measures instances if there is no target.
func (c *floodCmd) Run(io *streams) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Target != "" {
		return c.floodTarget(io)
	}
	return c.measureAll(io)
}

// check checks the numbers of sources and clients.
func (c *floodCmd) check() error {
	isClientCount := func(n int) bool { return n >= 0 && n <= maxFloodClients }
	if c.Sources < 1 || c.Sources > maxFloodSources || !isClientCount(c.Known) || !isClientCount(c.Others) {
		return usageError{errors.New("--sources must be between 1 and 50000, --known and --others between 0 and 1000")}
	}
	return nil
}

// options returns the options of a flood of c.Target with well-behaved clients.
func (c *floodCmd) options() flood.Options {
	return flood.Options{
		Target:         c.Target,
		Path:           c.Path,
		Pattern:        flood.Pattern(c.Pattern),
		Sources:        flood.SourceAddrs(c.Sources),
		Attempts:       c.Tries,
		Concurrency:    c.AtOnce,
		Duration:       c.Length,
		KnownClients:   flood.KnownClientAddrs(c.Known),
		OtherClients:   flood.OtherClientAddrs(c.Others),
		ClientInterval: c.Gap,
	}
}

// floodTarget floods the running instance at c.Target and prints the result.
func (c *floodCmd) floodTarget(io *streams) error {
	result, err := flood.Run(c.options())
	if err != nil {
		return usageError{err}
	}
	if c.JSON {
		return json.NewEncoder(io.out).Encode(result.Flood)
	}
	result.Flood.Write(io.out, "flood")
	result.Known.Write(io.out, "known")
	result.Others.Write(io.out, "others")
	return nil
}

// floodRun describes one measurement. Each is made on a newly started instance.
type floodRun struct {
	name                string
	admissionDirectives string // admission directives of the instance's configuration
	attempts            int    // number of connections that the flood tries; 0 for no flood
	// besideFlood directs the flood at a second instance. The measured instance is then
	// affected only by the flood's load on the machine.
	besideFlood bool
}

// runs returns the measurements in the order in which they are made. The first two must come before
// the others, since printRun compares the others with them.
func (c *floodCmd) runs() []floodRun {
	return []floodRun{
		{"calm", admissionConf, 0, false},
		{"flood of another head beside it", admissionConf, c.Tries, true},
		{"flood", admissionConf, c.Tries, false},
		{"flood, admission off", "", c.Tries, false},
	}
}

// measureAll makes all measurements and prints the results. It compares the known clients' latency
// (see knownP99) with two baselines: the measurement without a flood, and the measurement during a
// flood of another instance.
func (c *floodCmd) measureAll(io *streams) error {
	node, err := fakenode.Start(fakenode.Options{Listen: "127.0.0.1:0", Name: "n0", Cores: 16, QueueLimit: 1024, UnitTime: 2 * time.Millisecond, DiscardRecord: true})
	if err != nil {
		return err
	}
	defer node.Close()
	fmt.Fprintf(io.out, "%s from %d addresses, %d tries, %d at once, %v; %d known clients\n", c.Pattern, c.Sources, c.Tries, c.AtOnce, c.Length, c.Known)
	var calm, besideFlood int64 // 99th percentiles, in microseconds
	for i, run := range c.runs() {
		m, err := c.measure(loopback.Addr(floodNetwork, i+1, floodPort), run, node.Addr())
		if err != nil {
			return err
		}
		switch {
		case run.attempts == 0:
			calm = max(m.knownP99(), 1)
		case run.besideFlood:
			besideFlood = max(m.knownP99(), 1)
		}
		c.printRun(io, run, m, calm, besideFlood)
	}
	return nil
}

// printRun prints a measurement. calm and besideFlood are the latencies to compare it with, in
// microseconds: without a flood, and with the flood directed at another instance.
func (c *floodCmd) printRun(io *streams, run floodRun, m *floodMeasurement, calm, besideFlood int64) {
	fmt.Fprintln(io.out, run.name+":")
	if run.attempts > 0 {
		m.Flood.Write(io.out, "flood")
	}
	m.Known.Write(io.out, "known")
	if c.Others > 0 {
		m.Others.Write(io.out, "others")
	}
	fmt.Fprintf(io.out, "  known served %.1f%%, p99 of connect and answer %.2f times calm; head: %.0f%% of a CPU",
		100*float64(m.Known.Served)/float64(max(m.Known.Attempts, 1)), float64(m.knownP99())/float64(calm), 100*m.cpuShare)
	if run.attempts > 0 && !run.besideFlood {
		rejected := m.Flood.Rejected + m.Flood.Closed
		fmt.Fprintf(io.out, ", %.2f times as beside a flood of another", float64(m.knownP99())/float64(besideFlood))
		fmt.Fprintf(io.out, ", %.0f turned away a CPU second, known clients' answers with it", float64(rejected)/m.cpuSeconds)
	}
	fmt.Fprintln(io.out)
}
