package e2e

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"maddergap/internal/daemon"
	"maddergap/internal/platform"
	"maddergap/internal/syscalls"
)

// platformInstance is a gateway instance that serves a platform's protocol (see package
// platform), with a JSON configuration file and discovery.
type platformInstance struct {
	*testInstance
	configFile   string
	configChange *strings.Replacer // applied to platformConfig; nil for no change
	lastID       atomic.Int64      // id of the last request made by newRequest
}

// platformOptions are options for starting a platform instance. The zero value uses platformConfig
// as it is, without failing system calls.
type platformOptions struct {
	configChange  *strings.Replacer // applied to platformConfig
	syscallFaults string            // fault table in the format of syscalls.ParseFaultTable; "" for no faults
}

// platformConfig returns the text of a configuration file with discovery at the address.
func platformConfig(discoveryAddr string) string {
	return fmt.Sprintf(`{"name":"h0","listen":"127.0.0.1:0","discovery":%q,"seed":"00000000000000a1",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},
"settings":{"fleetSize":1,"discovery":"push","zones":["z0"],
"classes":[{"name":"read","target":150000,"deadline":1200000,"effect":"retryable","group":"all","gain":2,"lateWorth":0.1},
{"name":"write","target":300000,"deadline":1500000,"effect":"fragile","group":"all","gain":2,"lateWorth":0.1}],
"grades":[{"name":"low","shares":1,"guaranteed":100,"valueFactor":1}],
"familyInfo":{"unitsTop":6,"usualUnits":2,"fairWorth":0.3,"nShards":4,"writes":[false,true]},
"limits":{"maxAttempts":4,"maxRetryAfter":500000,"retryAfter":true,"connIdle":30000000,"connectTimeout":250000}}}`, discoveryAddr)
}

// startPlatformReady runs an instance and waits until it is ready. At the end of the test it checks
// the node states that the instance logged at intervals: in each of them, the scheduler's number of
// attempts in flight has to equal the number of node connections with an attempt.
func startPlatformReady(t *testing.T, d *fakeDiscovery, options platformOptions) *platformInstance {
	t.Helper()
	i := startPlatformInstance(t, d.addr, options)
	t.Cleanup(func() {
		i.stop()
		if log := i.log.String(); strings.Contains(log, "mismatch=true") || !strings.Contains(log, `msg="instance state"`) {
			t.Error("the log has a node state whose attempts in flight and active connections differ, or has no instance state at all")
		}
	})
	within(t, time.Second, i.ready)
	return i
}

// startPlatformInstance runs an instance without waiting until it is ready.
func startPlatformInstance(t *testing.T, discoveryAddr string, options platformOptions) *platformInstance {
	t.Helper()
	i := &platformInstance{testInstance: newTestInstance(t), configChange: options.configChange}
	i.configFile = filepath.Join(i.dir, "config.json")
	i.writeConfig(discoveryAddr)
	c, err := i.loadConfig()
	if err != nil {
		t.Fatal(err)
	}
	if options.syscallFaults != "" {
		if c.Gateway.SyscallFaults, err = syscalls.ParseFaultTable(options.syscallFaults); err != nil {
			t.Fatal(err)
		}
	}
	d, err := daemon.NewPlatform(c, i.loadConfig, i.logger(), daemon.WithNodeStateLog(50*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	i.run(d)
	return i
}

// loadConfig reads the configuration file, at the start and at each reload.
func (i *platformInstance) loadConfig() (*platform.Config, error) {
	environment := map[string]string{platform.EnvConfig: i.configFile}
	return platform.Load(func(name string) string { return environment[name] })
}

// writeConfig atomically replaces the configuration file by one with discovery at the address.
func (i *platformInstance) writeConfig(discoveryAddr string) {
	i.t.Helper()
	text := platformConfig(discoveryAddr)
	if i.configChange != nil {
		text = i.configChange.Replace(text)
	}
	temporary := i.configFile + ".new"
	writeFile(i.t, temporary, text)
	if err := os.Rename(temporary, i.configFile); err != nil {
		i.t.Fatal(err)
	}
}

// readBody sends a read to shard 0 and returns the body of the response.
func (i *platformInstance) readBody() string {
	_, body := i.roundTrip(i.newRead(0, "1200m").text)
	return body
}

// ready reports whether the instance responds to the readiness probe with 200.
func (i *platformInstance) ready() bool {
	status, _ := i.roundTrip("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	return status == 200
}

// loggedState returns the value of a field in the latest "instance state" line of the log, or "" if
// there is none.
func (i *platformInstance) loggedState(field string) string {
	log := i.log.String()
	start := strings.LastIndex(log, `msg="instance state"`)
	if start < 0 {
		return ""
	}
	line, _, _ := strings.Cut(log[start:], "\n")
	_, rest, _ := strings.Cut(line, " "+field+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// connect opens a client connection.
func (i *platformInstance) connect() *net.TCPConn {
	i.t.Helper()
	return i.dial(net.Dialer{})
}

// platformRequest is a request of the platform's protocol.
type platformRequest struct {
	id   string
	text string // the whole request in wire format
}

// newRequest returns a request with a new id. remaining is the time until the client's deadline, in
// milliseconds with the suffix "m".
func (i *platformInstance) newRequest(method, class string, shard int, remaining string) platformRequest {
	id := fmt.Sprintf("%016x", i.lastID.Add(1))
	body := ""
	if method == http.MethodPut {
		body = "payload"
	}
	text := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: b\r\nX-Txn: %s\r\nX-Lane: %s\r\nTier: low\r\nPiece: 0123456789abcdef\r\nX-Remaining: %s\r\n"+
		"IO-Info: volume=00000000feed0001,units=1,shard=%d,hosts=1\r\nContent-Length: %d\r\n\r\n%s", method, id, class, remaining, shard, len(body), body)
	return platformRequest{id: id, text: text}
}

func (i *platformInstance) newRead(shard int, remaining string) platformRequest {
	return i.newRequest(http.MethodGet, "read", shard, remaining)
}

func (i *platformInstance) newWrite(shard int, remaining string) platformRequest {
	return i.newRequest(http.MethodPut, "write", shard, remaining)
}
