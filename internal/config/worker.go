package config

import (
	"fmt"
	"net/netip"
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
	for _, limit := range []*int{&a.Listener, &a.Address, &a.Wide, &a.Reserve, &a.AddressBurst, &a.WideBurst, &a.AnswerBurst, &a.PressureIdle} {
		*limit = divideCap(*limit, c.Processes)
	}
	a.Total = c.Limits.Clients
	a.Reserve = min(a.Reserve, a.Total-1)
	for _, rate := range []*float64{&a.AddressRate, &a.WideRate, &a.AnswerRate} {
		*rate /= float64(c.Processes)
	}
	a.Buffers = max(a.Buffers/int64(c.Processes), int64(a.Total)*int64(a.BufferLeast))
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
