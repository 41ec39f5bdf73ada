package soak

import (
	"time"

	"maddergap/internal/audit"
)

// Tolerances of the audit. See the fields of audit.Input with the same names.
const (
	// drainGrace is the time after the notice of a drain within which an instance may still send to the node.
	drainGrace = 500 * time.Millisecond
	// disconnectGrace is the time after a client disconnected within which an attempt may still begin.
	disconnectGrace = 100 * time.Millisecond
	// timeoutTolerance is the time by which an attempt's timeout may extend beyond the client's deadline.
	timeoutTolerance = 150 * time.Millisecond
	// lateTolerance is the time by which a response may miss its deadline, since the machine may be busy.
	lateTolerance = 500 * time.Millisecond
	// clockTolerance is the allowed difference between the times of one event at both ends of a connection.
	clockTolerance = 50 * time.Millisecond
)

// buildReport runs the audit on a run that has ended, reads the instances' logs and returns the report.
// maxStall is the longest stall of the soak's own process.
func (f *fleet) buildReport(plan *Plan, dir string, maxStall time.Duration) (*Report, error) {
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

// auditInput collects the records of clients, nodes and discovery. It adds maxStall to the clock
// tolerance, since a stall delays the times in these records.
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
