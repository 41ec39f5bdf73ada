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

// pendingAttempt is a gateway with an attempt that is encoded but not yet written. The connection to
// the node is open.
type pendingAttempt struct {
	gateway  *gateway.Gateway
	now      gateway.Time
	nodeConn gateway.ConnID
}

// newPendingAttempt starts a gateway and sends it a request with 1 s remaining, on a connection that
// waited in the listen queue for acceptDelay.
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

// timeout returns the timeout that the attempt contains if it is written now.
func (a *pendingAttempt) timeout(t *testing.T) time.Duration {
	t.Helper()
	_, remaining, found := strings.Cut(string(a.gateway.PendingOutput(a.now, a.nodeConn)), "X-Remaining: ")
	text, _, _ := strings.Cut(remaining, "u\r\n")
	micros, err := strconv.ParseInt(text, 10, 64)
	if !found || err != nil {
		t.Fatalf("the attempt has no timeout: %v", err)
	}
	return time.Duration(micros) * time.Microsecond
}

// Verifies that the timeout in an attempt is the time remaining when the attempt is written. Time that
// the attempt spent in a buffer, or its client's connection in the listen queue, must be subtracted:
// with a longer timeout the node would work on a request whose client has given up.
func TestTimeoutIsTimeRemainingAtWrite(t *testing.T) {
	attempt := newPendingAttempt(t, 0)
	if timeout := attempt.timeout(t); timeout != time.Second {
		t.Errorf("written at once: got a timeout of %v, want 1s", timeout)
	}
	attempt.now += 300 * time.Millisecond
	if timeout := attempt.timeout(t); timeout != 700*time.Millisecond {
		t.Errorf("after 300 ms in a buffer: got a timeout of %v, want 700ms", timeout)
	}
	if timeout := newPendingAttempt(t, 400*time.Millisecond).timeout(t); timeout != 600*time.Millisecond {
		t.Errorf("after 400 ms in the listen queue: got a timeout of %v, want 600ms", timeout)
	}
}

// Verifies that an attempt that waits in a buffer is not written after its node has started to drain.
func TestNoWriteToDrainingNode(t *testing.T) {
	attempt := newPendingAttempt(t, 0)
	attempt.gateway.SetNodes(attempt.now, []nodelist.Node{{Name: "n", Addr: "10.0.0.1:1", State: scheduler.Draining}})
	if output := attempt.gateway.PendingOutput(attempt.now, attempt.nodeConn); len(output) > 0 {
		t.Errorf("%q is written to a draining node", output)
	}
}
