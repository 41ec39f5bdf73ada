package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/flood"
	"maddergap/internal/nodelist"
	"maddergap/internal/subprocess"
)

type floodCmd struct {
	Target  string        `help:"Head to press on, a loopback address; without it heads of its own are measured: calm, flood, flood with admission off."`
	Path    string        `default:"/feed-a/segment" help:"Path that is read."`
	Pattern string        `default:"hold" enum:"hold,close,slow-header,slow-body,slow-reader,greed,hoard" help:"hold, close, slow-header, slow-body, slow-reader, greed or hoard."`
	Sources int           `default:"1" help:"Source addresses of the flood."`
	Tries   int           `default:"10000" help:"Connections that the flood tries."`
	AtOnce  int           `default:"1000" help:"Connections at once."`
	Length  time.Duration `default:"8s" help:"How long."`
	Known   int           `default:"20" help:"Known clients, from 127.9.0.1 on."`
	Others  int           `default:"20" help:"Clients that behave alike but are on no list, from 127.10.1.1 on, one of each prefix."`
	JSON    bool          `help:"With --target: the flood's fate as JSON."`
	Gap     time.Duration `default:"20ms" help:"Gap between a known client's connections."`
}

// floodConf is the head that is measured; %s is what admission is told.
const floodConf = `listen %s
nodes nodes.list
log-requests no
class read effect safe aim 300ms deadline 2s worth 1 late 0.5
plan p rate 10000 reserve 10000
volume feed-a plan p shards 0
route * class read
units bytes 64k
clients 600
%s`

const admission = `admit address 16 wide 256 reserve 200 address-rate 50 address-burst 50 wide-rate 500 wide-burst 500
known 127.9.0.0/16
`

func (c *floodCmd) options() flood.Options {
	o := flood.Options{Target: c.Target, Path: c.Path, Pattern: c.Pattern, Tries: c.Tries, AtOnce: c.AtOnce, Length: c.Length, KnownGap: c.Gap}
	for i := range c.Sources {
		o.Sources = append(o.Sources, netip.AddrFrom4([4]byte{127, 20, byte(i / 250), byte(i%250 + 1)}))
	}
	for i := range c.Known {
		o.Known = append(o.Known, netip.AddrFrom4([4]byte{127, 9, byte(i / 250), byte(i%250 + 1)}))
	}
	for i := range c.Others {
		o.Others = append(o.Others, netip.AddrFrom4([4]byte{127, 10, byte(i%250 + 1), byte(i/250 + 1)}))
	}
	return o
}

func (c *floodCmd) Run(io *streams) error {
	if c.Sources < 1 || c.Sources > 50000 || c.Known < 0 || c.Known > 1000 || c.Others < 0 || c.Others > 1000 {
		return usageError{errors.New("--sources wants 1 to 50000, --known and --others 0 to 1000")}
	}
	if c.Target != "" {
		r, err := flood.Run(c.options())
		if err != nil {
			return usageError{err}
		}
		if c.JSON {
			return json.NewEncoder(io.out).Encode(r.Flood)
		}
		r.Flood.Write(io.out, "flood")
		r.Known.Write(io.out, "known")
		r.Others.Write(io.out, "others")
		return nil
	}
	node, err := fakenode.Start(fakenode.Options{Listen: "127.0.0.1:0", Name: "n0", Cores: 16, Queue: 1024, UnitTime: 2 * time.Millisecond, Forget: true})
	if err != nil {
		return err
	}
	defer node.Close()
	fmt.Fprintf(io.out, "%s from %d addresses, %d tries, %d at once, %v; %d known clients\n", c.Pattern, c.Sources, c.Tries, c.AtOnce, c.Length, c.Known)
	var calm, beside int64
	for i, run := range []struct {
		name  string
		admit string
		tries int
		aside bool
	}{{"calm", admission, 0, false}, {"flood of another head beside it", admission, c.Tries, true}, {"flood", admission, c.Tries, false},
		{"flood, admission off", "", c.Tries, false}} {
		r, err := c.measure(fmt.Sprintf("127.0.97.%d:18000", i+1), run.admit, run.tries, run.aside, node.Addr())
		if err != nil {
			return err
		}
		fmt.Fprintln(io.out, run.name+":")
		if run.tries > 0 {
			r.Flood.Write(io.out, "flood")
		}
		r.Known.Write(io.out, "known")
		if c.Others > 0 {
			r.Others.Write(io.out, "others")
		}
		p99 := r.Known.Answer.ValueAtQuantile(99) + r.Known.Connect.ValueAtQuantile(99)
		if run.tries == 0 {
			calm = max(p99, 1)
		} else if run.aside {
			beside = max(p99, 1)
		}
		fmt.Fprintf(io.out, "  known served %.1f%%, p99 of connect and answer %.2f times calm; head: %s",
			100*float64(r.Known.Served)/float64(max(r.Known.Tries, 1)), float64(p99)/float64(calm), r.CPU)
		if run.tries > 0 && !run.aside {
			fmt.Fprintf(io.out, ", %.2f times as beside a flood of another", float64(p99)/float64(beside))
			n := r.Flood.Refused + r.Flood.Closed
			fmt.Fprintf(io.out, ", %.0f turned away a CPU second, known clients' answers with it", float64(n)/r.Seconds)
		}
		fmt.Fprintln(io.out)
	}
	return nil
}

type measured struct {
	*flood.Result
	CPU     string
	Seconds float64 // of the head's CPU
}

// measure runs a head of its own under a flood. aside: the flood is of a second head,
// which tells what it takes from the machine and not from the head.
func (c *floodCmd) measure(addr, admit string, tries int, aside bool, node string) (*measured, error) {
	dir, err := os.MkdirTemp("", "maddergap-flood-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "m.conf")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(floodConf, addr, admit)), 0o644); err != nil {
		return nil, err
	}
	if err := nodelist.Replace(filepath.Join(dir, "nodes.list"), []nodelist.Node{{Name: "n0", Addr: node}}); err != nil {
		return nil, err
	}
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	head, err := subprocess.Start(addr, nil, exe, "serve", "--config", file)
	if err != nil {
		return nil, err
	}
	defer head.Kill()
	o := c.options()
	o.Target, o.Tries = addr, tries
	press := o
	if aside {
		press.Target = "127.0.97.9:18000"
		other := filepath.Join(dir, "other.conf")
		if err := os.WriteFile(other, []byte(fmt.Sprintf(floodConf, press.Target, admit)), 0o644); err != nil {
			return nil, err
		}
		second, err := subprocess.Start(press.Target, nil, exe, "serve", "--config", other)
		if err != nil {
			return nil, err
		}
		defer second.Kill()
	}
	began := time.Now()
	// The flood comes from a process of its own, so that its goroutines do not stand
	// between the clients that are measured and their clock.
	pressed := make(chan error, 1)
	r := &flood.Result{}
	go func() {
		if tries == 0 {
			pressed <- nil
			return
		}
		var err error
		r.Flood, err = flood.Press(press, exe)
		pressed <- err
	}()
	calm := o
	calm.Tries = 0
	known, err := flood.Run(calm)
	if err := errors.Join(err, <-pressed); err != nil {
		return nil, usageError{err}
	}
	r.Known, r.Others = known.Known, known.Others
	wall := time.Since(began)
	if err := head.Stop(); err != nil {
		return nil, fmt.Errorf("the head: %w", err)
	}
	return &measured{r, fmt.Sprintf("%.0f%% of a CPU", 100*head.CPU().Seconds()/wall.Seconds()), max(head.CPU().Seconds(), 1e-3)}, nil
}
