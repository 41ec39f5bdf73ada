package bench

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"maddergap/internal/fakenode"
	"maddergap/internal/loopback"
	"maddergap/internal/nodelist"
)

const (
	// loopbackNetwork is the third byte of the loopback addresses of gateway and proxy.
	loopbackNetwork = 98
	gatewayHost     = 1
	proxyHost       = 2
	port            = 18000
	nodeListFile    = "nodes.list"
	// nodeCores and nodeQueueLimit are more than any benchmark needs, except for Overload, which has
	// its own node.
	nodeCores      = 64
	nodeQueueLimit = 4096
)

func gatewayAddr() string { return loopback.Addr(loopbackNetwork, gatewayHost, port) }
func proxyAddr() string   { return loopback.Addr(loopbackNetwork, proxyHost, port) }

// gatewayConf is the gateway's configuration. It has no limits that would affect the measurements. Its
// two formatting verbs take the address to listen on and the number of the last shard.
//
// In class, aim is the latency objective and worth the priority weight; late is the fraction of that
// weight which is left after the objective. In units, bytes is the size of a unit of work; mean and
// most are the costs of the mean and of the largest request, in units.
const gatewayConf = `listen %s
nodes nodes.list
log-requests no
class read effect safe aim 500ms deadline 10s worth 1 late 0.5
class write effect unsafe aim 500ms deadline 60s worth 1 late 0.5
plan p rate 1000000 reserve 1000000
volume feed plan p shards 0-%d
units bytes 64k mean 1 most 32768
route PUT class write
route * class read
stall-time 30s
`

// startGateway starts a gateway with the node list that was last written.
func (o *Options) startGateway(shards int) (*process, error) {
	addr := gatewayAddr()
	file := filepath.Join(o.Dir, "head.conf")
	if err := os.WriteFile(file, fmt.Appendf(nil, gatewayConf, addr, shards-1), 0o644); err != nil {
		return nil, err
	}
	return startProcess(addr, o.Exe, "serve", "--config", file)
}

// startProxy starts the reverse proxy that the gateway is compared with.
func (o *Options) startProxy(target string) (*process, error) {
	addr := proxyAddr()
	return startProcess(addr, o.Exe, "bench", "--proxy", addr, "--target", target)
}

// writeNodeList writes the node list for the gateway that is started next.
func (o *Options) writeNodeList(nodes ...nodelist.Node) error {
	return nodelist.Replace(filepath.Join(o.Dir, nodeListFile), nodes)
}

// startNodes starts count nodes, one for each shard, and writes the node list.
func (o *Options) startNodes(count int) ([]*fakenode.Node, error) {
	var nodes []*fakenode.Node
	var list []nodelist.Node
	for i := range count {
		name := fmt.Sprint("n", i)
		node, err := fakenode.Start(fakenode.Options{
			Listen:        "127.0.0.1:0",
			Name:          name,
			Cores:         nodeCores,
			QueueLimit:    nodeQueueLimit,
			DiscardRecord: true, // keep no record of the finished requests
		})
		if err != nil {
			closeNodes(nodes)
			return nil, err
		}
		nodes = append(nodes, node)
		list = append(list, nodelist.Node{Name: name, Addr: node.Addr(), Shard: i})
	}
	if err := o.writeNodeList(list...); err != nil {
		closeNodes(nodes)
		return nil, err
	}
	return nodes, nil
}

func closeNodes(nodes []*fakenode.Node) {
	for _, node := range nodes {
		node.Close()
	}
}

// storeObjects stores objects of ResponseSize bytes through the gateway or node at addr.
func (o *Options) storeObjects(addr string, paths ...string) error {
	for _, path := range paths {
		body := strings.NewReader(strings.Repeat("x", o.ResponseSize))
		req, err := http.NewRequest(http.MethodPut, "http://"+addr+path, body)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		resp.Body.Close()
		if resp.StatusCode >= http.StatusMultipleChoices {
			return fmt.Errorf("PUT %s: unexpected response %s", path, resp.Status)
		}
	}
	return nil
}

// comparison holds a gateway and a proxy that use the same node, on which smallObject is stored.
type comparison struct {
	nodes          []*fakenode.Node
	gateway, proxy *process // nil until started
}

func (o *Options) startComparison() (*comparison, error) {
	c := &comparison{}
	if err := c.start(o); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *comparison) start(o *Options) (err error) {
	if c.nodes, err = o.startNodes(1); err != nil {
		return err
	}
	nodeAddr := c.nodes[0].Addr()
	if c.gateway, err = o.startGateway(1); err != nil {
		return err
	}
	if c.proxy, err = o.startProxy(nodeAddr); err != nil {
		return err
	}
	return o.storeObjects(nodeAddr, smallObject)
}

// close ends the processes and nodes that were started.
func (c *comparison) close() {
	closeNodes(c.nodes)
	for _, p := range []*process{c.gateway, c.proxy} {
		if p != nil {
			p.Kill()
		}
	}
}
