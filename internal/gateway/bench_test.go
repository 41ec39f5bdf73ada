package gateway

import (
	"net/netip"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/nodelist"
)

// BenchmarkRequest measures one GET on open connections, from a client to a node and back,
// including the work of the scheduler.
func BenchmarkRequest(b *testing.B) {
	c, err := config.Parse("harness", []byte(harnessConfig))
	if err != nil {
		b.Fatal(err)
	}
	now := harnessStart
	g, err := New(c, harnessSeed, now, time.Unix(1e9, 0), nil)
	if err != nil {
		b.Fatal(err)
	}
	g.SetNodes(now, []nodelist.Node{{Name: "n0", Addr: "node:0"}, {Name: "n1", Addr: "node:1", Shard: 1}})
	client := g.Accept(now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	var node ConnID
	runActions := func() {
		for {
			actions, _ := g.Advance(now)
			if len(actions) == 0 {
				return
			}
			for _, a := range actions {
				switch a.Op {
				case Dial:
					node = a.Conn
					g.Connected(now, a.Conn)
				case Flush:
					g.Wrote(now, a.Conn, len(g.PendingOutput(now, a.Conn)))
				}
			}
		}
	}
	request, response := []byte(getRequest("/feed-a/s/x")), []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		g.Data(now, client, request)
		runActions()
		g.Data(now, node, response)
		runActions()
	}
}
