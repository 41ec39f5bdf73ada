package gateway

import (
	"net/netip"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/nodelist"
)

// One kept-alive GET from a client through to a node and back, module included.
func BenchmarkRequest(b *testing.B) {
	c, err := config.Parse("m.conf", []byte(harnessConfig))
	if err != nil {
		b.Fatal(err)
	}
	now := 24 * time.Hour
	h, err := New(c, 7, now, time.Unix(1e9, 0), nil)
	if err != nil {
		b.Fatal(err)
	}
	h.SetNodes(now, []nodelist.Node{{Name: "n0", Addr: "node:0"}, {Name: "n1", Addr: "node:1", Shard: 1}})
	client := h.Accept(now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	var node ConnID
	run := func() {
		for {
			acts, _ := h.Advance(now)
			if len(acts) == 0 {
				return
			}
			for _, a := range acts {
				switch a.Op {
				case Dial:
					node = a.Conn
					h.Connected(now, a.Conn)
				case Flush:
					h.Wrote(now, a.Conn, len(h.Out(now, a.Conn)))
				}
			}
		}
	}
	ask, answer := []byte(getRequest("/feed-a/s/x")), []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		h.Data(now, client, ask)
		run()
		h.Data(now, node, answer)
		run()
	}
}
