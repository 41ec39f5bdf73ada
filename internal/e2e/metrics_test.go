package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"maddergap/internal/fakenode"
)

// Verifies the metrics of six connections with a request each to an instance that admits four
// clients: the requests by outcome, the rejected connections by reason, and the open connections.
func TestMetrics(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "clients 4\nmetrics 127.0.0.1:0\n", addrs[0], addrs[0])
	for range 6 {
		_, r := instance.send(getRequest("/feed-a/x"))
		instance.receive(r, "GET")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	eventually(t, "the metrics show 4 requests served, 2 connections rejected and 4 open", func() bool {
		request, _ := http.NewRequest("GET", "http://"+instance.daemon.MetricsAddr()+"/metrics", nil)
		resp, err := transport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(b), `maddergap_requests_total{outcome="served"} 4`) &&
			strings.Contains(string(b), `maddergap_turned_away_total{reason="total"} 2`) &&
			strings.Contains(string(b), `maddergap_connections{kind="client"} 4`)
	})
}
