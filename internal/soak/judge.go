package soak

import (
	"time"

	"maddergap/internal/audit"
)

// What the audit allows.
const (
	// drainGrace is how long after a notice of a drain a node may still be sent requests.
	drainGrace = 500 * time.Millisecond
	// disconnectGrace is how long after a client disconnected an attempt for it may begin.
	disconnectGrace = 100 * time.Millisecond
	// timeoutTolerance is how much more than its client's time an attempt may tell its node.
	timeoutTolerance = 150 * time.Millisecond
	// lateTolerance is how long after its deadline a response may arrive, on a busy machine.
	lateTolerance = 500 * time.Millisecond
	// clockTolerance is how far apart the times of the same event may be at its two sockets.
	clockTolerance = 50 * time.Millisecond
)

// judge judges a run that has ended. maxStall is the longest stall of the soak itself.
func (f *fleet) judge(plan *Plan, dir string, maxStall time.Duration) (*Report, error) {
	in, err := f.auditInput(dir, maxStall)
	if err != nil {
		return nil, err
	}
	r := &Report{Options: f.options, Plan: plan, Audit: audit.Judge(in), Failures: f.failures, MaxStall: maxStall}
	for _, i := range f.instances {
		r.Failures = append(r.Failures, i.failures...)
		violations, err := loggedViolations(i.log.Name())
		if err != nil {
			return nil, err
		}
		r.Violations = append(r.Violations, violations...)
	}
	return r, nil
}

// auditInput joins the records of clients, nodes and discovery.
func (f *fleet) auditInput(dir string, maxStall time.Duration) (in audit.Input, err error) {
	in.Config, err = f.deployment.auditConfig(dir)
	if err != nil {
		return in, err
	}
	in.DrainNotices, in.StartNotices = f.registry.Notices()
	in.NodeStarts = f.nodeStarts
	in.SlowStart = f.deployment.slowStart()
	in.DrainGrace = drainGrace
	in.DisconnectGrace = disconnectGrace
	in.TimeoutTolerance = timeoutTolerance
	in.LateTolerance = lateTolerance
	in.ClockTolerance = clockTolerance + maxStall
	for _, i := range f.instances {
		in.Requests = append(in.Requests, i.clients.allRecords()...)
		in.Outages = append(in.Outages, i.outages...)
	}
	for _, n := range f.nodes {
		in.Attempts = append(in.Attempts, n.records()...)
	}
	return in, nil
}
