package platform_test

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"maddergap/internal/gateway"
	"maddergap/internal/nodelist"
	"maddergap/internal/platform"
	"maddergap/scheduler"
)

const oneNodeConfig = `{"name":"h0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"00000000000000a1",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},
"settings":{"fleetSize":1,"discovery":"push","zones":["z0"],
"classes":[{"name":"read","target":150000,"deadline":1200000,"effect":"retryable","group":"all","gain":2,"lateWorth":0.1}],
"grades":[{"name":"low","shares":1,"guaranteed":100,"valueFactor":1}],
"familyInfo":{"unitsTop":6,"usualUnits":2,"fairWorth":0.3,"nShards":4,"writes":[false]},
"limits":{"maxAttempts":4,"maxRetryAfter":500000,"retryAfter":true,"connIdle":30000000,"connectTimeout":250000}}}`

// pendingAttempt is a gateway with an attempt that is encoded and not written: the connection to
// its node is open and takes no bytes yet.
type pendingAttempt struct {
	gateway  *gateway.Gateway
	now      gateway.Time
	nodeConn gateway.ConnID
}

// newPendingAttempt has a client, which waited to be accepted, send a request with a second left.
func newPendingAttempt(t *testing.T, acceptDelay time.Duration) *pendingAttempt {
	t.Helper()
	c, err := platform.Parse("config", []byte(oneNodeConfig), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	a := &pendingAttempt{now: 24 * time.Hour}
	if a.gateway, err = gateway.New(c.Gateway, 1, a.now, time.Unix(0, 0), nil); err != nil {
		t.Fatal(err)
	}
	a.gateway.SetProtocol(c.Protocol())
	a.gateway.SetNodes(a.now, []nodelist.Node{{Name: "n", Addr: "10.0.0.1:1"}})
	client := a.gateway.Accept(a.now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	a.gateway.SetAcceptDelay(client, acceptDelay)
	a.gateway.Data(a.now, client, fmt.Appendf(nil, "GET /api HTTP/1.1\r\nHost: b\r\nX-Txn: 1\r\nX-Lane: read\r\nTier: low\r\nPiece: abcdef9876543210\r\n"+
		"X-Remaining: 1000m\r\nIO-Info: volume=00000000feed0001,units=1,shard=0,hosts=1\r\n\r\n"))
	for {
		actions, _ := a.gateway.Advance(a.now)
		if len(actions) == 0 {
			return a
		}
		for _, action := range actions {
			if action.Op == gateway.Dial {
				a.nodeConn = action.Conn
				a.gateway.Connected(a.now, action.Conn)
			}
		}
	}
}

// timeout is the one in the attempt, if that is written now.
func (a *pendingAttempt) timeout(t *testing.T) time.Duration {
	t.Helper()
	_, remaining, found := strings.Cut(string(a.gateway.Out(a.now, a.nodeConn)), "X-Remaining: ")
	text, _, _ := strings.Cut(remaining, "u\r\n")
	micros, err := strconv.ParseInt(text, 10, 64)
	if !found || err != nil {
		t.Fatalf("the attempt has no timeout: %v", err)
	}
	return time.Duration(micros) * time.Microsecond
}

// An attempt waits in a buffer, or its client waited to be accepted. The timeout that the node is
// told is the time remaining at the write: with a longer one the node would work for nobody.
func TestTimeoutIsTimeRemainingAtWrite(t *testing.T) {
	attempt := newPendingAttempt(t, 0)
	if timeout := attempt.timeout(t); timeout != time.Second {
		t.Errorf("%v at once", timeout)
	}
	attempt.now += 300 * time.Millisecond
	if timeout := attempt.timeout(t); timeout != 700*time.Millisecond {
		t.Errorf("%v after 300 ms in a buffer", timeout)
	}
	if timeout := newPendingAttempt(t, 400*time.Millisecond).timeout(t); timeout != 600*time.Millisecond {
		t.Errorf("%v after 400 ms in the listen queue", timeout)
	}
}

// A node drains while an attempt waits in a buffer. The attempt is not written.
func TestNoWriteToDrainingNode(t *testing.T) {
	attempt := newPendingAttempt(t, 0)
	attempt.gateway.SetNodes(attempt.now, []nodelist.Node{{Name: "n", Addr: "10.0.0.1:1", State: scheduler.Draining}})
	if out := attempt.gateway.Out(attempt.now, attempt.nodeConn); len(out) > 0 {
		t.Errorf("%q is written", out)
	}
}
