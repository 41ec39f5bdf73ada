package config

import (
	"fmt"
	"net/netip"

	"maddergap/internal/admission"
)

// ForWorker returns the configuration of worker i. The number of workers that share the listeners is
// c.Processes. The limits on connections, rates and buffers are divided evenly among the workers; numbers
// of connections are rounded up. Each worker has its own metrics port, trace file and seed. If all
// connections of a client address reach the same worker, the address can open only this worker's part
// of the cap; if they reach all workers, it can open as many as the whole cap allows.
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

// divideCap returns one process's part of a cap. It is rounded up, since a result of 0 would mean no cap.
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

// forWorker returns the telemetry settings of worker i, which have its own metrics port and, with several
// processes, its own trace file.
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
