package e2e

import (
	"io"
	"strings"
	"testing"

	"maddergap/internal/fakenode"
)

// The node list file is replaced by a malformed one. The last good list stays in force and
// the log names the error. The next good list is followed.
func TestNodeListFileIsReloaded(t *testing.T) {
	_, addrs := startNodes(t, 2, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send(putRequest("/feed-a/s", "first"))
	instance.receive(r, "PUT")
	writeFile(t, instance.nodeListFile(), "node n0 nowhere\n")
	eventually(t, "the log names the error", func() bool { return strings.Contains(instance.log.String(), "nodes.list:1") })
	_, r = instance.send(getRequest("/feed-a/s"))
	if status, body, _ := instance.receive(r, "GET"); status != 200 || body != "first" {
		t.Errorf("%d %q under a malformed list", status, body)
	}
	instance.setNodes(addrs[1], addrs[1])
	eventually(t, "the new node is used", func() bool {
		_, r := instance.send(getRequest("/feed-a/s"))
		status, _, _ := instance.receive(r, "GET")
		return status == 404
	})
}

// A configuration with an error, or with a change that needs a restart, is rejected whole.
// A good one is applied.
func TestReloadIsAllOrNothing(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	for _, c := range []struct{ name, config, logged string }{
		{"unknown directive", webdavConfig + "haeds 3\n", "unknown directive"},
		{"needs a restart", webdavConfig + "heads 3\n", "change with a restart only"},
	} {
		instance.writeConfig(c.config)
		instance.daemon.Reload()
		eventually(t, c.name+": "+c.logged, func() bool { return strings.Contains(instance.log.String(), c.logged) })
	}
	instance.writeConfig(strings.Replace(webdavConfig, "volume feed-a", "volume feed-c plan standard shards 0\nvolume feed-a", 1))
	instance.daemon.Reload()
	eventually(t, "the new volume is served", func() bool {
		_, r := instance.send(putRequest("/feed-c/s", "x"))
		status, _, _ := instance.receive(r, "PUT")
		return status == 201
	})
}

// A reload lowers the limit of connections per address below what an address has open.
// None of them is closed, and the next one is rejected.
func TestReloadOfConnectionLimits(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 50\n", addrs[0], addrs[0])
	c1, r1 := instance.connectFrom("127.0.8.1")
	instance.get(c1, r1)
	c2, r2 := instance.connectFrom("127.0.8.1")
	instance.get(c2, r2)
	instance.writeConfig(webdavConfig + "clients 50\nadmit address 1\n")
	instance.daemon.Reload()
	eventually(t, "the reload", func() bool { return strings.Contains(instance.log.String(), "reloaded") })
	if a, b := instance.get(c1, r1), instance.get(c2, r2); a != 404 || b != 404 {
		t.Errorf("connections from before the reload: %d, %d", a, b)
	}
	io.WriteString(c1, putRequest("/feed-a/x", "x")) // a connection that was served is not preempted
	instance.receive(r1, "PUT")
	io.WriteString(c2, putRequest("/feed-a/x", "x"))
	instance.receive(r2, "PUT")
	c3, r3 := instance.connectFrom("127.0.8.1")
	if status := instance.get(c3, r3); status != 503 {
		t.Errorf("past the new limit: %d, want 503", status)
	}
}

// Guards against an operator who believes in a setting that is not in force: a directive that a
// reload accepts and that takes effect at a restart only is named in the log.
func TestReloadLogsDirectivesThatNeedRestart(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	instance.writeConfig(strings.Replace(webdavConfig, "log-requests no", "log-requests yes", 1) + "seed 5\nadmit learn 5 forget 1h\n")
	instance.daemon.Reload()
	eventually(t, "the log names what needs a restart", func() bool {
		return strings.Contains(instance.log.String(), `msg="needs a restart" settings="seed, log-requests, learn, forget"`)
	})
}
