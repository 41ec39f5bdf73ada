package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"maddergap/internal/discovery"
	"maddergap/internal/gateway"
)

// Verifies that a gateway either serves requests with the platform's settings or fails at start with an
// error that names the invalid key. The settings are random and include extreme values.
func TestRandomSettings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		classes := drawClasses(rt)
		plans := drawPlans(rt)
		text := drawConfig(rt, classes, plans)
		c, err := Parse("file", text, noEnvironment)
		if err != nil {
			checkNamesKey(rt, err)
			return
		}
		for i := range classes {
			class := c.Gateway.Scheduler.Classes[i]
			timeRemaining := max(class.Deadline, class.LatencyObjective, 50*time.Millisecond)
			if status := serveOneRequest(rt, c, fmt.Sprint("c", i), timeRemaining, len(plans) > 0); status != "200" {
				rt.Fatalf("class %d: got status %s, want 200, with the configuration %s", i, status, text)
			}
		}
	})
}

type jsonObject = map[string]any

func oneOf(t *rapid.T, label string, values ...any) any {
	return rapid.SampledFrom(values).Draw(t, label)
}

func drawClasses(t *rapid.T) (classes []jsonObject) {
	for i := range rapid.IntRange(0, 4).Draw(t, "classes") {
		target := oneOf(t, "target", -1, 0, 1000, 20_000, 400_000, 30_000_000).(int)
		classes = append(classes, jsonObject{
			"name":      fmt.Sprint("c", i),
			"target":    target,
			"deadline":  oneOf(t, "deadline", 0, target, 2*target, 90_000_000),
			"effect":    oneOf(t, "effect", "retryable", "dedup", "fragile", "retryable", "new"),
			"group":     oneOf(t, "group", "all", "zone", "cell"),
			"window":    oneOf(t, "window", 0, 1000, 60_000_000),
			"gain":      oneOf(t, "gain", 0, 1, 1000, -1),
			"lateWorth": oneOf(t, "late", 0, 0.5, 1),
			"inTurn":    oneOf(t, "turn", true, false),
		})
	}
	return classes
}

func drawPlans(t *rapid.T) (plans []jsonObject) {
	for i := range rapid.IntRange(0, 3).Draw(t, "plans") {
		plans = append(plans, jsonObject{
			"name":        fmt.Sprint("p", i),
			"shares":      oneOf(t, "shares", 0, 1, 1e9),
			"guaranteed":  oneOf(t, "guaranteed", 0, 1e-3, 1e6),
			"valueFactor": oneOf(t, "factor", 0, 1, 50),
			"ceilingRate": oneOf(t, "ceiling", 0, 0, 100, -1),
			"limitBurst":  oneOf(t, "burst", 0, 100),
			"nominal":     oneOf(t, "nominal", 0, 10),
		})
	}
	return plans
}

func drawConfig(t *rapid.T, classes, plans []jsonObject) []byte {
	settings := jsonObject{
		"fleetSize": oneOf(t, "fleet", 0, 1, 2, 300, 100_000),
		"discovery": oneOf(t, "discovery", "push", "ask"),
		"zones":     oneOf(t, "zones", nil, []string{"z"}),
		"classes":   classes,
		"grades":    plans,
		"familyInfo": jsonObject{
			"unitsTop":   oneOf(t, "top", 0, 1, 6, 1e6),
			"usualUnits": oneOf(t, "usual", 1, 2, 1e-3),
			"fairWorth":  oneOf(t, "fair", 0, 1),
			"coldUnits":  oneOf(t, "cold units", 0, 1e-3, 25, 1e9),
			"nShards":    oneOf(t, "shards", 0, 1, 1000),
		},
		"guarantees": jsonObject{
			"cold":         oneOf(t, "cold", 0, 1, 17_000_000),
			"coldFrom":     oneOf(t, "from", 0, 0.2, 1),
			"fallMultiple": oneOf(t, "multiple", 0, 1, 3),
			"overloadFor":  oneOf(t, "for", 0, 1, 1_500_000),
			"countedOver":  oneOf(t, "over", 0, 1, 5_000_000),
			"freeResends":  oneOf(t, "free", 0, 3),
			"furtherRatio": oneOf(t, "ratio", 0, 0.1),
			"orderSettle":  oneOf(t, "settle", 0, 1, 60_000_000),
		},
		"limits": jsonObject{
			"maxAttempts":    oneOf(t, "attempts", 0, 1, 4),
			"maxRetryAfter":  oneOf(t, "after", 0, 1, 60_000_000),
			"retryAfter":     oneOf(t, "says", true, false),
			"connIdle":       oneOf(t, "idle", 0, 1, 1000, 60_000_000),
			"connectTimeout": oneOf(t, "connect", 0, 1, 250_000, 90_000_000),
		},
	}
	text, err := json.Marshal(jsonObject{
		"name":      "h",
		"listen":    "127.0.0.1:0",
		"discovery": "127.0.0.1:9",
		"seed":      "00000000000000a1",
		"limits": jsonObject{
			"cores":     oneOf(t, "cores", 0.01, 8),
			"memory_mb": oneOf(t, "memory", 1, 16, 64, 64, 1e6),
			"sockets":   oneOf(t, "sockets", 32, 96, 256, 256, 1<<20),
		},
		"settings": settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkNamesKey checks that an error names the file and one of the keys that the test makes invalid.
func checkNamesKey(t *rapid.T, err error) {
	named := false
	for _, key := range []string{"classes", "grades", "fleetSize", "unitsTop", "sockets"} {
		named = named || strings.Contains(err.Error(), key)
	}
	if !named || !strings.HasPrefix(err.Error(), "file: ") {
		t.Fatalf("the error %v does not name the file and an invalid key", err)
	}
}

// serveOneRequest sends a request of a class to a new gateway whose only node responds at once, and
// returns the status that the client gets.
func serveOneRequest(t *rapid.T, c *Config, class string, timeRemaining time.Duration, hasPlans bool) string {
	now := 24 * time.Hour
	g, err := gateway.New(c.Gateway, 1, now, time.Unix(1e9, 0), nil)
	if err != nil {
		t.Fatal(err)
	}
	g.SetProtocol(c.Protocol())
	list := &discovery.EndpointList{Index: new(int64), Snapshot: true, Endpoints: []discovery.Endpoint{{Name: "n", Address: "127.0.0.1:7", Status: "up"}}}
	nodes, err := discovery.New("127.0.0.1:9", nil, false, 1).NodesFromList(list)
	if err != nil {
		t.Fatal(err)
	}
	g.SetNodes(now, nodes)
	planHeader := ""
	if hasPlans {
		planHeader = "Tier: p0\r\n"
	}
	client := g.Accept(now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	g.Data(now, client, fmt.Appendf(nil, "GET /api HTTP/1.1\r\nHost: b\r\nX-Txn: 1\r\nX-Lane: %s\r\n%sPiece: abcdef9876543210\r\nX-Remaining: %dm\r\n"+
		"IO-Info: volume=00000000feed0001,units=0.001,shard=0,hosts=1\r\n\r\n", class, planHeader, timeRemaining/time.Millisecond))
	return awaitStatus(g, client, now, now+timeRemaining+time.Second)
}

// awaitStatus advances a gateway until it responds to a client, and returns the status of the response,
// or "none" if there is no response before the time end.
func awaitStatus(g *gateway.Gateway, client gateway.ConnID, now, end time.Duration) string {
	for now < end {
		actions, next := g.Advance(now)
		for _, action := range append([]gateway.Action(nil), actions...) {
			switch action.Op {
			case gateway.Dial:
				g.Connected(now, action.Conn)
			case gateway.Flush:
				output := string(g.PendingOutput(now, action.Conn))
				g.Wrote(now, action.Conn, len(output))
				if action.Conn == client {
					return strings.Fields(output)[1]
				}
				g.Data(now, action.Conn, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		}
		if len(actions) == 0 {
			now = max(next, now+time.Millisecond)
		}
	}
	return "none"
}
