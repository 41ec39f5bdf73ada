package main

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/fakenode"
	"maddergap/internal/nodelist"
)

// maxDemoNodes is the largest number of fake nodes in a demo.
const maxDemoNodes = 100

// demoCmd runs an instance and its fake nodes in one process.
type demoCmd struct {
	Listen string `default:"127.0.0.1:8080" help:"Address to serve on."`
	Nodes  int    `default:"4" help:"Fake nodes, one for each shard."`
}

// demoConf is the format of the demo's configuration, which operators may use as a starting point. Its
// arguments are the address to listen on and, twice, the highest shard.
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

// Run starts the fake nodes and serves over them until SIGINT or SIGTERM. Once the instance listens, it
// prints the one line that scripts wait for.
func (c *demoCmd) Run(io *streams) error {
	if c.Nodes < 1 || c.Nodes > maxDemoNodes {
		return usageError{fmt.Errorf("--nodes is %d, want 1 to %d", c.Nodes, maxDemoNodes)}
	}
	dir, err := os.MkdirTemp("", "maddergap-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var nodes []nodelist.Node
	for shard := range c.Nodes {
		node, err := startDemoNode(shard)
		if err != nil {
			return err
		}
		defer node.Close()
		nodes = append(nodes, nodelist.Node{Name: demoNodeName(shard), Addr: node.Addr(), Shard: shard})
	}
	conf, err := writeDemoConfig(dir, c.Listen, nodes)
	if err != nil {
		return err
	}
	newDaemon := func(log *slog.Logger) (*daemon.Daemon, error) { return daemon.New(conf, log) }
	ready := func(d *daemon.Daemon, _ *slog.Logger) { fmt.Fprintf(io.out, "ready http://%s/\n", d.Addrs()[0]) }
	return serveConfig(conf, io, newDaemon, ready)
}

func demoNodeName(shard int) string { return fmt.Sprint("n", shard) }

func startDemoNode(shard int) (*fakenode.Node, error) {
	return fakenode.Start(fakenode.Options{
		Listen:     "127.0.0.1:0",
		Name:       demoNodeName(shard),
		Cores:      4,
		QueueLimit: 256,
		UnitTime:   100 * time.Microsecond,
	})
}

// writeDemoConfig writes the demo's configuration and node list into dir and loads them.
func writeDemoConfig(dir, listen string, nodes []nodelist.Node) (*config.Config, error) {
	lastShard := len(nodes) - 1
	file := filepath.Join(dir, "maddergap.conf")
	text := fmt.Sprintf(demoConf, listen, lastShard, lastShard)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	if err := nodelist.Replace(filepath.Join(dir, "nodes.list"), nodes); err != nil {
		return nil, err
	}
	conf, err := config.Load(file)
	if err != nil {
		return nil, usageError{err}
	}
	return conf, nil
}
