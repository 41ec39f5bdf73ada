package scenario

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"maddergap/internal/audit"
	"maddergap/scheduler"
)

// event is a scheduled action other than a client request.
type event struct {
	at  time.Duration
	run func() error
}

// events returns the events of the plan, sorted by time.
func (r *runner) events() []event {
	var events []event
	for _, change := range r.plan.NodeListChanges {
		events = append(events, event{change.At, func() error { return r.changeNodeList(change) }})
	}
	for _, kill := range r.plan.InstanceKills {
		events = append(events,
			event{kill.At, func() error { r.killInstance(kill.Instance); return nil }},
			event{kill.RestartAt, func() error { r.restartInstance(kill.Instance); return nil }})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// changeNodeList writes the node list with a change applied, and records when nodes start and stop
// draining.
func (r *runner) changeNodeList(change NodeListChange) error {
	for _, node := range r.plan.DrainedNodes {
		state, changed := change.State[node]
		last := len(r.drains) - 1
		switch {
		case changed && state != scheduler.Serving:
			r.drains = append(r.drains, audit.Interval{Name: nodeName(node), From: nowMicros()})
		case changed && last >= 0 && r.drains[last].To == 0:
			r.drains[last].To = nowMicros()
		}
	}
	return r.writeNodeList(change.At)
}

// killInstance kills an instance without a graceful shutdown, and closes the idle client connections
// to it.
func (r *runner) killInstance(instance int) {
	r.fleet.killInstance(instance, func() { r.clients.closeIdle(instance) })
}

// restartInstance starts a killed instance without waiting for it. The idle client connections to
// the instance are closed when it has started.
func (r *runner) restartInstance(instance int) {
	r.fleet.restartInstance(instance, r.configFiles[instance], r.instanceAddrs[instance],
		func() { r.clients.closeIdle(instance) })
}

// run runs the schedule, waits for all requests, restarts and floods, and sets r.input except for
// the nodes' records, which collect adds.
func (r *runner) run() error {
	maxDelay, err := r.runSchedule()
	if err != nil {
		return err
	}
	records := r.clients.finish()
	if err := r.fleet.waitRestarts(); err != nil {
		return err
	}
	r.input = r.auditInput(records)
	r.floods.wait()
	r.floods.report(r.options.Progress)
	fmt.Fprintf(r.options.Progress, "\rday over; the schedule was kept to within %v\n", maxDelay.Round(time.Millisecond))
	return nil
}

// runSchedule starts each event and request at its scheduled time. It returns the largest delay of
// a start.
func (r *runner) runSchedule() (maxDelay time.Duration, err error) {
	requests, events := r.plan.Requests, r.events()
	for len(requests) > 0 || len(events) > 0 {
		eventIsNext := len(events) > 0 && (len(requests) == 0 || events[0].at <= requests[0].At)
		if !eventIsNext {
			maxDelay = max(maxDelay, r.waitUntil(requests[0].At))
			r.clients.startRequest(requests[0])
			requests = requests[1:]
			continue
		}
		maxDelay = max(maxDelay, r.waitUntil(events[0].at))
		if err := events[0].run(); err != nil {
			return maxDelay, err
		}
		fmt.Fprintf(r.options.Progress, "\r%v of %v", events[0].at.Round(time.Second), r.plan.Length)
		events = events[1:]
	}
	return maxDelay, nil
}

// waitUntil waits until a time of the scenario. If that time has already passed, waitUntil returns at
// once with the delay.
func (r *runner) waitUntil(at time.Duration) (delay time.Duration) {
	remaining := time.Until(r.epoch.Add(at))
	if remaining > 0 {
		time.Sleep(remaining)
		return 0
	}
	return -remaining
}

// auditInput returns the input of the audit without the nodes' records.
func (r *runner) auditInput(records []audit.RequestRecord) audit.Input {
	input := audit.Input{
		Config:     r.config,
		Requests:   records,
		Outages:    r.fleet.allOutages(),
		Drains:     r.drains,
		DrainGrace: drainGrace,
		SlowStart: audit.SlowStart{
			Capacity:        nodeCores / unitTime.Seconds(),
			InitialFraction: slowStartFraction,
			WarmupDuration:  r.plan.WarmupDuration,
			OverloadFactor:  overloadFactor,
			OverloadWindow:  overloadWindow,
		},
		StartedAt:      r.epoch.UnixMicro(),
		Stalls:         r.stallIntervals(),
		ClockTolerance: clockTolerance,
		LateTolerance:  r.options.LateTolerance,
	}
	for node, at := range r.plan.NodeRestarts {
		input.NodeStarts = append(input.NodeStarts, audit.Interval{Name: nodeName(node), From: r.epoch.Add(at).UnixMicro()})
	}
	return input
}

// stallIntervals stops the measurement of stalls and returns the stalls. The report counts the late
// responses that coincide with a stall, but a stall does not excuse a violation.
func (r *runner) stallIntervals() []audit.Interval {
	r.stalls.Stop()
	var intervals []audit.Interval
	for _, stall := range r.stalls.Stalls() {
		intervals = append(intervals, audit.Interval{From: stall.From.UnixMicro(), To: stall.To.UnixMicro()})
	}
	return intervals
}
