package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"

	"maddergap/internal/bench"
	"maddergap/internal/soak"
)

// benchCmd compares an instance with a reverse proxy. With --proxy it runs that proxy instead.
type benchCmd struct {
	Clients int           `default:"64" help:"Clients with kept-alive connections."`
	Length  time.Duration `name:"turn" default:"3s" help:"Length of one measurement."`
	Repeats int           `name:"turns" default:"5" help:"Measurements of each kind."`
	Size    int           `default:"1024" help:"Bytes of a small response."`
	Stream  int64         `default:"1024" help:"MiB of the large object."`
	Only    string        `enum:"all,small,nodes,stream,rush,overload,members" default:"all" help:"all, small, nodes, stream, rush, overload or members."`
	Proxy   string        `hidden:"" help:"Run the reverse proxy that is compared with, on this address."`
	Target  string        `hidden:"" help:"With --proxy, where it forwards to."`
}

// Run runs the measurements that --only selects, or the proxy.
func (c *benchCmd) Run(io *streams) error {
	if c.Proxy != "" {
		return bench.Proxy(c.Proxy, c.Target)
	}
	if c.Clients < 1 || c.Repeats < 1 || c.Length <= 0 || c.Size < 0 || c.Stream < 1 {
		return usageError{errors.New("--clients, --turns, --turn and --stream must be greater than 0, and --size must not be negative")}
	}
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "maddergap-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fmt.Fprintf(io.out, "%s, %s/%s, %d CPUs\n", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	for _, m := range c.measurements(exe, dir, io) {
		if c.Only != "all" && c.Only != m.name {
			continue
		}
		if err := m.run(); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	return nil
}

// measurement is one kind of measurement.
type measurement struct {
	name string // value of --only that selects it
	run  func() error
}

// measurements returns all measurements in the order in which they run.
func (c *benchCmd) measurements(exe, dir string, io *streams) []measurement {
	o := bench.Options{Exe: exe, Dir: dir, Clients: c.Clients, Duration: c.Length, Repeats: c.Repeats, ResponseSize: c.Size, Out: io.out}
	return []measurement{
		{"small", o.Small},
		{"nodes", func() error { return o.Nodes(8, 200) }},
		{"stream", func() error { return o.Stream(c.Stream << 20) }},
		{"rush", func() error { return o.Rush(64, 256, 1024, 4096, 8000) }},
		{"overload", func() error { return o.Overload(16, 64, 1024, 4096) }},
		{"members", func() error { return soak.MeasureNodeLists([]string{exe}, dir, []int{200, 800, 3200}, io.out) }},
	}
}
