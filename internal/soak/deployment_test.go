package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Whatever deployment is drawn, an instance has to accept its configuration, and no request may
// wait longer than its class allows.
func TestDeployments(t *testing.T) {
	for seed := range uint64(50) {
		o := testOptions
		o.Seed = seed
		d := drawDeployment(&o)
		c, err := d.auditConfig(t.TempDir())
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if len(c.Volumes) != len(planNames) || len(c.Scheduler.Classes) != len(d.classes) {
			t.Fatalf("seed %d: volumes %+v, classes %+v", seed, c.Volumes, c.Scheduler.Classes)
		}
		r := rand.New(rand.NewPCG(seed, 0))
		for range 20 {
			req := d.drawRequest(r, "1")
			if deadline := d.classes[req.class].deadline; req.timeout < deadline/2 || req.timeout >= deadline || req.shard >= d.shards {
				t.Fatalf("seed %d: %+v with a deadline of %v", seed, req, deadline)
			}
		}
	}
}

func TestFormatRequest(t *testing.T) {
	d := &deployment{classes: []class{{name: "read"}, {name: "write", write: true}}, shards: 4, instances: 3}
	for _, c := range []struct {
		request request
		want    []string
	}{
		{request{id: "a", volume: unlimitedVolume, timeout: time.Second},
			[]string{"GET /api HTTP/1.1\r\n", "Tier: low\r\n", "X-Remaining: 1000m\r\n", "Content-Length: 0\r\n\r\n"}},
		{request{id: "b", class: 1, volume: limitedVolume, shard: 2, key: 255, timeout: time.Millisecond},
			[]string{"PUT /api HTTP/1.1\r\n", "X-Lane: write\r\n", "Tier: limited\r\n", "Piece: 00000000000000ff\r\n",
				"IO-Info: volume=00000000feed0002,units=1,shard=2,hosts=3\r\n", "Content-Length: 12\r\n\r\npayload of b"}},
	} {
		t.Run(fmt.Sprint(c.request.id), func(t *testing.T) {
			text := d.formatRequest(c.request)
			for _, want := range c.want {
				if !strings.Contains(text, want) {
					t.Errorf("%q lacks %q", text, want)
				}
			}
		})
	}
}
