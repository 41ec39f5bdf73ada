package e2e

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/fakenode"
	"maddergap/internal/nodelist"
)

// webdavConfig is the common part of the configuration files of WebDAV instances.
const webdavConfig = `listen 127.0.0.1:0
nodes nodes.list
log-requests no
class read effect safe aim 300ms deadline 1500ms worth 2 late 0.5
class write effect unsafe aim 300ms deadline 1500ms worth 2 late 0.5
class export effect safe aim 2s deadline 20s worth 1 late 0.5
plan standard rate 1000 reserve 1000
volume feed-a plan standard shards 0
volume feed-b plan standard shards 0-1
route GET over 1m class export
route GET,HEAD,PROPFIND class read
route * class write
stop-time 5s
stall-time 2s
header-time 1s
`

// webdavInstance is an instance that serves WebDAV, with a configuration file and a node
// list file.
type webdavInstance struct {
	*testInstance
}

// startWebDAV runs an instance with a node at each address: the first for shard 0, the second for
// shard 1. moreConfig is appended to webdavConfig.
func startWebDAV(t *testing.T, moreConfig string, nodeAddrs ...string) *webdavInstance {
	t.Helper()
	return startWebDAVWithConfig(t, webdavConfig+moreConfig, nodeAddrs...)
}

// startWebDAVWithConfig is like startWebDAV with the whole text of a configuration file.
func startWebDAVWithConfig(t *testing.T, configText string, nodeAddrs ...string) *webdavInstance {
	t.Helper()
	i := &webdavInstance{newTestInstance(t)}
	i.setNodes(nodeAddrs...)
	i.writeConfig(configText)
	c, err := config.Load(i.configFile())
	if err != nil {
		t.Fatal(err)
	}
	d, err := daemon.New(c, i.logger())
	if err != nil {
		t.Fatal(err)
	}
	i.run(d)
	return i
}

func (i *webdavInstance) configFile() string   { return filepath.Join(i.dir, "m.conf") }
func (i *webdavInstance) nodeListFile() string { return filepath.Join(i.dir, "nodes.list") }

func (i *webdavInstance) writeConfig(text string) {
	i.t.Helper()
	writeFile(i.t, i.configFile(), text)
}

// setNodes replaces the node list file by one with a node at each address, the n-th for shard n,
// counted from 0.
func (i *webdavInstance) setNodes(addrs ...string) {
	i.t.Helper()
	var nodes []nodelist.Node
	for shard, addr := range addrs {
		nodes = append(nodes, nodelist.Node{Name: fmt.Sprint("n", shard), Addr: addr, Shard: shard})
	}
	if err := nodelist.Replace(i.nodeListFile(), nodes); err != nil {
		i.t.Fatal(err)
	}
}

// get sends a GET of /feed-a/x on an open connection and returns the status of the response.
func (i *webdavInstance) get(c net.Conn, r *bufio.Reader) int {
	i.t.Helper()
	io.WriteString(c, getRequest("/feed-a/x"))
	status, _, _ := i.receive(r, "GET")
	return status
}

// startError parses a configuration and creates a daemon from it, and returns the error of the step
// that fails. It does not run the daemon.
func startError(t *testing.T, moreConfig string) error {
	dir := t.TempDir()
	nodelist.Replace(filepath.Join(dir, "nodes.list"), []nodelist.Node{{Name: "n0", Addr: "127.0.0.1:1"}})
	c, err := config.Parse(filepath.Join(dir, "m.conf"), []byte(webdavConfig+moreConfig))
	if err != nil {
		return err
	}
	_, err = daemon.New(c, slog.New(slog.DiscardHandler))
	return err
}

// startNodes runs a number of WebDAV nodes with the same options and returns them with their addresses.
func startNodes(t *testing.T, count int, options fakenode.Options) ([]*fakenode.Node, []string) {
	t.Helper()
	var nodes []*fakenode.Node
	var addrs []string
	for n := range count {
		options.Listen, options.Name = "127.0.0.1:0", fmt.Sprint("n", n)
		if options.QueueLimit == 0 {
			options.QueueLimit, options.Cores = 64, 4
		}
		node, err := fakenode.Start(options)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { node.Close() })
		nodes, addrs = append(nodes, node), append(addrs, node.Addr())
	}
	return nodes, addrs
}

// countRequests returns the number of requests for a path that a node was sent.
func countRequests(node *fakenode.Node, path string) int {
	count := 0
	for _, e := range node.Entries() {
		if e.Path == path {
			count++
		}
	}
	return count
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}
