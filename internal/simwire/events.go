package simwire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"maddergap/internal/settings"
	"maddergap/scheduler"
)

// Event is a message of the simulator to one instance.
type Event struct {
	Instance string
	Message  Message
}

// Message is one of Start, Stop, Report, AttemptReport, HealthCheckResult and PeerMessage.
type Message interface{ message() }

// Start starts an instance, in place of any earlier one of its name.
type Start struct {
	Seed uint64
	Site settings.Site
}

// Stop ends an instance.
type Stop struct{}

// Report is an event for the scheduler other than the end of an attempt.
type Report struct{ Event scheduler.Event }

// AttemptReport is the end of an attempt.
type AttemptReport struct {
	Event scheduler.AttemptEnded
	// UnitsElsewhere is what the volume was served through other instances.
	UnitsElsewhere float64
	// LoadReport is the node's load report, nil for none.
	LoadReport map[string]float64
}

// HealthCheckResult is the result of a health check that an instance asked for.
type HealthCheckResult struct {
	Node       string
	Outcome    scheduler.Outcome
	Duration   scheduler.Time
	LoadReport map[string]float64
}

// PeerMessage is a message from another instance.
type PeerMessage struct {
	From int
	Body []byte
}

func (Start) message()             {}
func (Stop) message()              {}
func (Report) message()            {}
func (AttemptReport) message()     {}
func (HealthCheckResult) message() {}
func (PeerMessage) message()       {}

// parseEvent reads an event line, and returns how many endpoint lines follow it.
func parseEvent(line string) (e Event, endpoints int, err error) {
	f := newFields(line)
	kind := f.text()
	e.Instance = f.text()
	switch kind {
	case wordStart:
		e.Message, err = parseStart(f)
	case wordStop:
		e.Message = Stop{}
	case wordEndpointUpdate:
		e.Message, endpoints, err = parseEndpointUpdate(f)
	case wordArrival:
		e.Message = Report{parseArrival(f)}
	case wordAttemptEnded:
		e.Message = parseAttemptEnded(f)
	case wordResponseStarted:
		e.Message = Report{parseResponseStarted(f)}
	case wordClientDisconnected:
		e.Message = Report{scheduler.ClientDisconnected{ID: f.uint()}}
	case wordTimerFired:
		f.text() // the timer's name; there is one
		e.Message = Report{scheduler.TimerFired{}}
	case wordHealthCheckResult:
		e.Message = parseHealthCheckResult(f)
	case wordPeerMessage:
		e.Message, err = parsePeerMessage(f)
	default:
		return e, 0, fmt.Errorf("unknown message %.40q", kind)
	}
	if err == nil || f.err != nil {
		err = f.done()
	}
	if err != nil {
		return e, 0, fmt.Errorf("%s: %w", kind, err)
	}
	return e, endpoints, nil
}

func parseStart(f *fields) (Start, error) {
	start := Start{Seed: f.uint()}
	if err := json.Unmarshal([]byte(f.rest()), &start.Site); err != nil {
		return start, fmt.Errorf("facts: %w", err)
	}
	return start, nil
}

func parseEndpointUpdate(f *fields) (report Report, endpoints int, err error) {
	kind := f.text()
	f.int() // the list's version
	endpoints = int(f.int())
	if endpoints < 0 {
		return report, 0, fmt.Errorf("%d entries", endpoints)
	}
	return Report{scheduler.EndpointUpdate{
		Full:   kind == updateFull || kind == updateFullAtStart,
		Failed: kind == updateFailed,
	}}, endpoints, nil
}

// parseEndpoint reads a line of an endpoint list.
func parseEndpoint(line string) (endpoint scheduler.Endpoint, err error) {
	f := newFields(line)
	if f.text() != wordEndpoint {
		return endpoint, fmt.Errorf("expected an item line, got %.40q", line)
	}
	endpoint.Node, endpoint.Zone = f.text(), int(f.int())
	f.int() // the machine's type
	endpoint.Shard = int(f.int())
	endpoint.State = nodeStates[f.text()]
	f.float() // the machine's speed
	endpoint.Started = f.duration()
	return endpoint, f.done()
}

func parseArrival(f *fields) (a scheduler.Arrival) {
	a.ID, a.Shard, a.Plan, a.Key = f.uint(), int(f.float()), int(f.int()), f.text()
	a.ClientRetry = f.int()&flagClientRetry != 0
	a.Volume, a.TimeRemaining, a.Units = f.text(), f.duration(), f.float()
	a.Instances, a.Class = int(f.float()), int(f.int())
	return a
}

func parseAttemptEnded(f *fields) (report AttemptReport) {
	e := &report.Event
	e.ID, e.Attempt, e.Node, e.Outcome = f.uint(), int(f.int()), f.text(), f.outcome()
	e.Duration, e.Responded = f.duration(), f.int() != 0
	f.int() // metered
	report.UnitsElsewhere, report.LoadReport = f.float(), f.pairs()
	inFlight, hasInFlight := report.LoadReport[reportInFlight]
	queued, hasQueued := report.LoadReport[reportQueued]
	e.ReportedLoad, e.HasLoadReport = max(inFlight, queued), hasInFlight || hasQueued
	return report
}

func parseResponseStarted(f *fields) (e scheduler.ResponseStarted) {
	e.ID, e.Attempt = f.uint(), int(f.int())
	f.text()     // the node
	f.duration() // since the attempt was sent
	return e
}

func parseHealthCheckResult(f *fields) (result HealthCheckResult) {
	result.Node, result.Outcome = f.text(), f.outcome()
	result.Duration, result.LoadReport = f.duration(), f.pairs()
	return result
}

func parsePeerMessage(f *fields) (message PeerMessage, err error) {
	message.From = int(f.int())
	if message.Body, err = base64.StdEncoding.DecodeString(f.text()); err != nil {
		return message, fmt.Errorf("msg: %w", err)
	}
	return message, nil
}
