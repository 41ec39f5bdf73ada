package config

import (
	"testing"
	"time"

	"maddergap/internal/admission"
)

// Verifies that each of four workers has its part of the limits; otherwise the workers together would
// admit four times as much as configured. Parts are rounded up, since a cap of 0 would mean no cap.
func TestForWorkerDividesLimits(t *testing.T) {
	c := &Config{
		Processes: 4,
		Seed:      100,
		Limits:    Limits{Clients: 1002},
		Timeouts:  Timeouts{Shutdown: time.Second},
		Telemetry: Telemetry{MetricsAddr: "127.0.0.1:9000", TraceFile: "/tmp/spans"},
		Admission: admission.Config{
			Caps:       admission.Caps{Listener: 500, Address: 2, Prefix: 0},
			Reserve:    10,
			Rates:      admission.Rates{Address: admission.RateLimit{PerSecond: 10, Burst: 5}},
			Rejections: admission.RateLimit{PerSecond: 50, Burst: 100},
			Buffers:    admission.Buffers{TotalBytes: 1 << 20, MinConnBytes: 4096},
		},
	}
	w := c.ForWorker(2)
	a := w.Admission
	for _, got := range []struct {
		name      string
		got, want int
	}{
		{"clients", w.Limits.Clients, 251},
		{"connections of admission", a.MaxConns, 251},
		{"cap of a listener", a.Caps.Listener, 125},
		{"cap of an address", a.Caps.Address, 1},
		{"no cap of a prefix", a.Caps.Prefix, 0},
		{"reserve", a.Reserve, 3},
		{"burst of an address", a.Rates.Address.Burst, 2},
		{"burst of rejections", a.Rejections.Burst, 25},
		{"buffers, at least the minimum of each connection", int(a.Buffers.TotalBytes), 251 * 4096},
	} {
		if got.got != got.want {
			t.Errorf("%s: got %d, want %d", got.name, got.got, got.want)
		}
	}
	if a.Rates.Address.PerSecond != 2.5 || a.Rejections.PerSecond != 12.5 {
		t.Errorf("got rates of %v and %v per second, want 2.5 and 12.5", a.Rates.Address.PerSecond, a.Rejections.PerSecond)
	}
	if w.Telemetry.MetricsAddr != "127.0.0.1:9002" || w.Telemetry.TraceFile != "/tmp/spans.2" || w.Seed != 102 {
		t.Errorf("got metrics at %s, spans in %s, seed %d", w.Telemetry.MetricsAddr, w.Telemetry.TraceFile, w.Seed)
	}
	if w.Timeouts != c.Timeouts || c.Limits.Clients != 1002 {
		t.Error("a timeout is divided, or ForWorker changed the original configuration")
	}
}

// Verifies that a single process keeps its whole configuration, including a seed of 0 and the name of the
// trace file.
func TestForWorkerOfOneProcess(t *testing.T) {
	c := &Config{Processes: 1, Limits: Limits{Clients: 7}, Telemetry: Telemetry{TraceFile: "/tmp/spans"}}
	if w := c.ForWorker(0); w.Limits.Clients != 7 || w.Telemetry.TraceFile != "/tmp/spans" || w.Seed != 0 {
		t.Errorf("%+v", w)
	}
}
