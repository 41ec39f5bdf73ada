package e2e

import (
	"io"
	"strings"
	"testing"

	"maddergap/internal/fakenode"
)

// Verifies that a malformed node list file is rejected with an error in the log while the last good
// list stays in effect, and that the next valid list is applied.
func TestNodeListFileIsReloaded(t *testing.T) {
	_, addrs := startNodes(t, 2, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send(putRequest("/feed-a/s", "first"))
	instance.receive(r, "PUT")
	writeFile(t, instance.nodeListFile(), "node n0 nowhere\n")
	eventually(t, "the log names the error", func() bool { return strings.Contains(instance.log.String(), "nodes.list:1") })
	_, r = instance.send(getRequest("/feed-a/s"))
	if status, body, _ := instance.receive(r, "GET"); status != 200 || body != "first" {
		t.Errorf("read with a malformed node list: status %d, body %q; want 200 and \"first\"", status, body)
	}
	instance.setNodes(addrs[1], addrs[1])
	eventually(t, "the new node is used", func() bool {
		_, r := instance.send(getRequest("/feed-a/s"))
		status, _, _ := instance.receive(r, "GET")
		return status == 404
	})
}

// Verifies that a reload rejects a configuration as a whole if it has an error or a change that needs a
// restart, and that a valid configuration is applied after that.
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

// Verifies that a reload that lowers the limit of connections per address closes no connection of an
// address that is over the new limit, and that the next connection of that address is rejected.
func TestReloadOfConnectionLimits(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 50\n", addrs[0], addrs[0])
	c1, r1 := instance.connectFrom("127.0.8.1")
	instance.get(c1, r1)
	c2, r2 := instance.connectFrom("127.0.8.1")
	instance.get(c2, r2)
	instance.writeConfig(webdavConfig + "clients 50\nadmit address 1\n")
	instance.daemon.Reload()
	eventually(t, "the log reports the reload", func() bool { return strings.Contains(instance.log.String(), "reloaded") })
	if a, b := instance.get(c1, r1), instance.get(c2, r2); a != 404 || b != 404 {
		t.Errorf("connections from before the reload: status %d and %d, want 404", a, b)
	}
	io.WriteString(c1, putRequest("/feed-a/x", "x")) // a connection whose request was served is not preempted
	instance.receive(r1, "PUT")
	io.WriteString(c2, putRequest("/feed-a/x", "x"))
	instance.receive(r2, "PUT")
	c3, r3 := instance.connectFrom("127.0.8.1")
	if status := instance.get(c3, r3); status != 503 {
		t.Errorf("connection over the new limit: status %d, want 503", status)
	}
}

// Guards against changed directives that a reload accepts but that take effect only at a restart: the
// log has to name them, or an operator would assume that they are in effect.
func TestReloadLogsDirectivesThatNeedRestart(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	instance.writeConfig(strings.Replace(webdavConfig, "log-requests no", "log-requests yes", 1) + "seed 5\nadmit learn 5 forget 1h\n")
	instance.daemon.Reload()
	eventually(t, "the log names what needs a restart", func() bool {
		return strings.Contains(instance.log.String(), `msg="needs a restart" settings="seed, log-requests, learn, forget"`)
	})
}
