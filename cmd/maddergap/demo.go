package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/fakenode"
	"maddergap/internal/nodelist"
)

type nodeCmd struct {
	Listen   string        `default:"127.0.0.1:0" help:"Address."`
	Name     string        `default:"node" help:"Name in the record."`
	Record   string        `type:"path" help:"File for the record of requests (JSON lines)."`
	Script   string        `type:"existingfile" help:"Script of faults."`
	Epoch    int64         `help:"Unix time in milliseconds that the script counts from; 0: the start."`
	Cores    int           `default:"2" help:"Requests run at once."`
	Queue    int           `default:"64" help:"Requests held at once; more get 503."`
	Unit     int64         `default:"65536" help:"Bytes that count one unit."`
	UnitTime time.Duration `default:"1ms" help:"Time that a unit takes a core."`
	Cold     time.Duration `default:"5s" help:"Warm-up after a scripted restart."`
	From     float64       `default:"0.2" help:"Part of its capacity that a restarted node begins at."`
	Multiple float64       `default:"3" help:"Of its capacity, past which a cold node falls over."`
	Window   time.Duration `default:"1s" help:"Window of that."`
}

func (c *nodeCmd) Run(io *streams) error {
	o := fakenode.Options{Listen: c.Listen, Name: c.Name, Record: c.Record, Cores: c.Cores, Queue: c.Queue, Unit: c.Unit,
		UnitTime: c.UnitTime, Cold: c.Cold, From: c.From, Multiple: c.Multiple, Window: c.Window}
	if c.Epoch > 0 {
		o.Epoch = time.UnixMilli(c.Epoch)
	}
	if c.Script != "" {
		data, err := os.ReadFile(c.Script)
		if err != nil {
			return err
		}
		if o.Script, err = fakenode.ParseScript(c.Script, data); err != nil {
			return err
		}
	}
	n, err := fakenode.Start(o)
	if err != nil {
		return err
	}
	fmt.Fprintf(io.out, "ready http://%s/\n", n.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return n.Close()
}

type demoCmd struct {
	Listen string `default:"127.0.0.1:8080" help:"Address to serve on."`
	Nodes  int    `default:"4" help:"Stand-in nodes."`
}

// demoConf is the demo's configuration; operators may begin from it.
const demoConf = `listen %s
clients 512
nodes nodes.list
log-requests no
class read effect safe aim 150ms deadline 2s worth 2 late 0.2
class write effect unsafe aim 300ms deadline 5s worth 2 late 0.2
class export effect safe aim 1s deadline 10s worth 1 late 0.2
plan standard rate 200 reserve 100 weight 1 price 0.8 limit 5000 burst 20000
plan priority rate 400 reserve 400 weight 2
volume feed-a plan standard shards 0-%d
volume feed-b plan priority shards 0-%d
route GET ranged yes class export
route GET over 1m class export
route GET,HEAD,PROPFIND class read
route * class write
units bytes 64k mean 1 most 64
retry-after 1s
`

func (c *demoCmd) Run(io *streams) error {
	if c.Nodes < 1 || c.Nodes > 100 {
		return usageError{fmt.Errorf("--nodes is %d, want 1 to 100", c.Nodes)}
	}
	dir, err := os.MkdirTemp("", "maddergap-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var list []nodelist.Node
	for i := range c.Nodes {
		n, err := fakenode.Start(fakenode.Options{Listen: "127.0.0.1:0", Name: fmt.Sprint("n", i), Cores: 4, Queue: 256, UnitTime: 100 * time.Microsecond})
		if err != nil {
			return err
		}
		defer n.Close()
		list = append(list, nodelist.Node{Name: fmt.Sprint("n", i), Addr: n.Addr(), Shard: i})
	}
	file := filepath.Join(dir, "maddergap.conf")
	text := fmt.Sprintf(demoConf, c.Listen, c.Nodes-1, c.Nodes-1)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	if err := nodelist.Replace(filepath.Join(dir, "nodes.list"), list); err != nil {
		return err
	}
	conf, err := config.Load(file)
	if err != nil {
		return usageError{err}
	}
	open := func(log *slog.Logger) (*daemon.Daemon, error) { return daemon.New(conf, log) }
	ready := func(d *daemon.Daemon, _ *slog.Logger) { fmt.Fprintf(io.out, "ready http://%s/\n", d.Addrs()[0]) }
	return serveConfig(conf, io, open, ready)
}
