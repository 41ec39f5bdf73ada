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

// platformInstance is an instance that serves the platform's protocol, with a JSON
// configuration file and discovery.
type platformInstance struct {
	*testInstance
	configFile   string
	configChange *strings.Replacer // nil: none
	lastID       atomic.Int64      // of the requests made by newRequest
}

// platformOptions changes how a platform instance is started. The zero value changes nothing.
type platformOptions struct {
	configChange  *strings.Replacer // applied to platformConfig
	syscallFaults string            // a table of failing system calls, as syscalls.ParseFaultTable reads it
}

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

// startPlatformReady runs an instance and waits until it is ready. At the end of the test
// it checks that the scheduler's attempts agreed with those on the sockets, each time that
// the instance logged its state.
func startPlatformReady(t *testing.T, d *fakeDiscovery, options platformOptions) *platformInstance {
	t.Helper()
	i := startPlatform(t, d.addr, options)
	t.Cleanup(func() {
		i.stop()
		if log := i.log.String(); strings.Contains(log, "mismatch=true") || !strings.Contains(log, `msg="instance state"`) {
			t.Error("the scheduler's attempts and those on the sockets differ, or were not compared")
		}
	})
	within(t, time.Second, i.ready)
	return i
}

// startPlatform runs an instance and does not wait until it is ready.
func startPlatform(t *testing.T, discoveryAddr string, options platformOptions) *platformInstance {
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

func (i *platformInstance) loadConfig() (*platform.Config, error) {
	environment := map[string]string{platform.EnvConfig: i.configFile}
	return platform.Load(func(name string) string { return environment[name] })
}

// writeConfig replaces the configuration file by one with discovery at the address.
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

// readBody sends a read and returns the body of its response.
func (i *platformInstance) readBody() string {
	_, body := i.roundTrip(i.newRead(0, "1200m").text)
	return body
}

func (i *platformInstance) ready() bool {
	status, _ := i.roundTrip("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	return status == 200
}

// loggedState returns a field of the latest line that logs the state of the instance, or "".
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
	text string // as it is sent
}

// newRequest returns a request with a new id. remaining is the time that the client has
// left, in milliseconds with the suffix "m".
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
