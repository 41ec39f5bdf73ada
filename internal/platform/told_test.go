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

const toldConfig = `{"name":"h0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"00000000000000a1",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},
"settings":{"fleetSize":1,"discovery":"push","zones":["z0"],
"classes":[{"name":"read","target":150000,"deadline":1200000,"effect":"retryable","group":"all","gain":2,"lateWorth":0.1}],
"grades":[{"name":"low","shares":1,"guaranteed":100,"valueFactor":1}],
"familyInfo":{"unitsTop":6,"usualUnits":2,"fairWorth":0.3,"nShards":4,"writes":[false]},
"limits":{"maxAttempts":4,"maxRetryAfter":500000,"retryAfter":true,"connIdle":30000000,"connectTimeout":250000}}}`

// toldRig is a head with a request for a node whose connection stands and takes nothing yet.
type toldRig struct {
	h    *gateway.Gateway
	now  gateway.Time
	node gateway.ConnID
}

func newToldRig(t *testing.T, waited time.Duration) *toldRig {
	t.Helper()
	c, err := platform.Parse("told", []byte(toldConfig), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	r := &toldRig{now: 24 * time.Hour}
	if r.h, err = gateway.New(c.Gateway, 1, r.now, time.Unix(0, 0), nil); err != nil {
		t.Fatal(err)
	}
	r.h.SetProtocol(c.Protocol())
	r.h.SetNodes(r.now, []nodelist.Node{{Name: "n", Addr: "10.0.0.1:1"}})
	client := r.h.Accept(r.now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	r.h.SetAcceptDelay(client, waited)
	r.h.Data(r.now, client, fmt.Appendf(nil, "GET /api HTTP/1.1\r\nHost: b\r\nX-Txn: 1\r\nX-Lane: read\r\nTier: low\r\nPiece: abcdef9876543210\r\n"+
		"X-Remaining: 1000m\r\nIO-Info: volume=00000000feed0001,units=1,shard=0,hosts=1\r\n\r\n"))
	for {
		acts, _ := r.h.Advance(r.now)
		if len(acts) == 0 {
			return r
		}
		for _, a := range acts {
			if a.Op == gateway.Dial {
				r.node = a.Conn
				r.h.Connected(r.now, a.Conn)
			}
		}
	}
}

// told is the time that the attempt tells its node, if it is written now.
func (r *toldRig) told(t *testing.T) time.Duration {
	t.Helper()
	_, rest, found := strings.Cut(string(r.h.Out(r.now, r.node)), "X-Remaining: ")
	text, _, _ := strings.Cut(rest, "u\r\n")
	micros, err := strconv.ParseInt(text, 10, 64)
	if !found || err != nil {
		t.Fatalf("no time is told: %v", err)
	}
	return time.Duration(micros) * time.Microsecond
}

// The time that an attempt tells its node is what is left as its bytes are handed out, however
// long they waited, and however long its client waited to be accepted.
func TestToldIsWhatIsLeftAtTheWrite(t *testing.T) {
	r := newToldRig(t, 0)
	if told := r.told(t); told != time.Second {
		t.Errorf("told %v at once", told)
	}
	r.now += 300 * time.Millisecond
	if told := r.told(t); told != 700*time.Millisecond {
		t.Errorf("told %v after 300 ms in a buffer", told)
	}
	if told := newToldRig(t, 400*time.Millisecond).told(t); told != 600*time.Millisecond {
		t.Errorf("told %v after 400 ms in the listen queue", told)
	}
}

// What waits in a buffer while its node is told to drain is not handed out.
func TestNothingIsHandedOutBehindADrain(t *testing.T) {
	r := newToldRig(t, 0)
	r.h.SetNodes(r.now, []nodelist.Node{{Name: "n", Addr: "10.0.0.1:1", State: scheduler.Draining}})
	if out := r.h.Out(r.now, r.node); len(out) > 0 {
		t.Errorf("%q is handed out", out)
	}
}
