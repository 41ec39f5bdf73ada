package config

import (
	"fmt"
	"net/netip"

	"maddergap/internal/admission"
)

// ForWorker returns the configuration of worker i of the Processes that share the
// listeners: connections, caps, rates and buffers divided evenly and rounded up, a port of
// its own for metrics, a trace file and a seed of its own. A client address gets between
// the part of one process and its whole cap, depending on which processes its
// connections reach.
func (c *Config) ForWorker(i int) *Config {
	worker := *c
	worker.Limits.Clients = divideCap(c.Limits.Clients, c.Processes)
	worker.divideAdmission()
	worker.Telemetry = c.Telemetry.forWorker(i, c.Processes)
	if c.Seed != 0 {
		worker.Seed = c.Seed + uint64(i)
	}
	return &worker
}

// divideCap is one process's part of a cap, rounded up so that it is never 0 for a cap above 0.
func divideCap(limit, processes int) int {
	if limit <= 0 {
		return limit
	}
	return (limit + processes - 1) / processes
}

// divideAdmission reduces the admission caps and rates to one process's part.
func (c *Config) divideAdmission() {
	a := &c.Admission
	for _, limit := range []*int{&a.Caps.Listener, &a.Caps.Address, &a.Caps.Prefix, &a.Reserve, &a.Preemption.MinFreeConns} {
		*limit = divideCap(*limit, c.Processes)
	}
	for _, rate := range []*admission.RateLimit{&a.Rates.Address, &a.Rates.Prefix, &a.Rejections} {
		rate.PerSecond /= float64(c.Processes)
		rate.Burst = divideCap(rate.Burst, c.Processes)
	}
	a.MaxConns = c.Limits.Clients
	a.Reserve = min(a.Reserve, a.MaxConns-1)
	a.Buffers.TotalBytes = max(a.Buffers.TotalBytes/int64(c.Processes), int64(a.MaxConns)*int64(a.Buffers.MinConnBytes))
}

// forWorker gives worker i a metrics port and a trace file of its own.
func (t Telemetry) forWorker(i, processes int) Telemetry {
	addr, err := netip.ParseAddrPort(t.MetricsAddr)
	if err == nil && addr.Port() > 0 {
		t.MetricsAddr = netip.AddrPortFrom(addr.Addr(), addr.Port()+uint16(i)).String()
	}
	if t.TraceFile != "" && processes > 1 {
		t.TraceFile = fmt.Sprintf("%s.%d", t.TraceFile, i)
	}
	return t
}
