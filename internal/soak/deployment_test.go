package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// Verifies for many seeds that the gateway's parser accepts the configuration of the drawn deployment, and
// that drawn requests name existing shards and stay below the deadline of their class. Otherwise a run
// would fail for some seeds without a fault of the gateway.
func TestDrawnDeploymentsAreValid(t *testing.T) {
	for seed := range uint64(50) {
		o := testOptions
		o.Seed = seed
		d := drawDeployment(&o)
		c, err := d.auditConfig(t.TempDir())
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if len(c.Volumes) != len(planNames) || len(c.Scheduler.Classes) != len(d.classes) {
			t.Fatalf("seed %d: got volumes %+v and classes %+v, want as many as in the deployment", seed, c.Volumes, c.Scheduler.Classes)
		}
		r := rand.New(rand.NewPCG(seed, 0))
		for range 20 {
			req := d.drawRequest(r, "1")
			if deadline := d.classes[req.class].deadline; req.timeout < deadline/2 || req.timeout >= deadline || req.shard >= d.shards {
				t.Fatalf("seed %d: got request %+v, want an existing shard and a timeout between half the deadline and the deadline of %v", seed, req, deadline)
			}
		}
	}
}

// Verifies the header fields by which an instance reads the properties of a request, and the body of a write.
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
					t.Errorf("got request %q, want it to contain %q", text, want)
				}
			}
		})
	}
}
