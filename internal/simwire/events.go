package simwire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"maddergap/internal/settings"
	"maddergap/scheduler"
)

// Event is a message from the simulator to one instance.
type Event struct {
	Instance string
	Message  Message
}

// Message is the content of an Event: a Start, Stop, Report, AttemptReport, HealthCheckResult or
// PeerMessage.
type Message interface{ message() }

// Start starts an instance. It replaces an instance of the same name that is already running.
type Start struct {
	Seed uint64 // seed of the instance's scheduler
	Site settings.Site
}

// Stop stops an instance.
type Stop struct{}

// Report carries an event for the scheduler. The end of an attempt has its own message, AttemptReport.
type Report struct{ Event scheduler.Event }

// AttemptReport reports the end of an attempt.
type AttemptReport struct {
	Event scheduler.AttemptEnded
	// UnitsElsewhere is the number of units of work that other instances have served for the volume.
	UnitsElsewhere float64
	// LoadReport holds the values of the node's load report by key. It is nil if there was no report.
	LoadReport map[string]float64
}

// HealthCheckResult is the result of a health check that an instance requested.
type HealthCheckResult struct {
	Node       string
	Outcome    scheduler.Outcome
	Duration   scheduler.Time
	LoadReport map[string]float64 // as in AttemptReport
}

// PeerMessage is a message from another instance.
type PeerMessage struct {
	From int // number of the sending instance
	Body []byte
}

func (Start) message()             {}
func (Stop) message()              {}
func (Report) message()            {}
func (AttemptReport) message()     {}
func (HealthCheckResult) message() {}
func (PeerMessage) message()       {}

// parseEvent parses an event line. endpoints is the number of endpoint lines that follow it.
func parseEvent(line string) (e Event, endpoints int, err error) {
	f := newFields(line)
	kind := f.text()
	e.Instance = f.text()
	switch kind {
	case kindStart:
		e.Message, err = parseStart(f)
	case kindStop:
		e.Message = Stop{}
	case kindEndpointUpdate:
		e.Message, endpoints, err = parseEndpointUpdate(f)
	case kindArrival:
		e.Message = Report{parseArrival(f)}
	case kindAttemptEnded:
		e.Message = parseAttemptEnded(f)
	case kindResponseStarted:
		e.Message = Report{parseResponseStarted(f)}
	case kindClientDisconnected:
		e.Message = Report{scheduler.ClientDisconnected{ID: f.uint()}}
	case kindTimerFired:
		f.text() // timer name; instances have a single timer
		e.Message = Report{scheduler.TimerFired{}}
	case kindHealthCheckResult:
		e.Message = parseHealthCheckResult(f)
	case kindPeerMessage:
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
	if err := json.Unmarshal([]byte(f.remaining()), &start.Site); err != nil {
		return start, fmt.Errorf("site settings: %w", err)
	}
	return start, nil
}

func parseEndpointUpdate(f *fields) (report Report, endpoints int, err error) {
	kind := f.text()
	f.int() // list version
	endpoints = int(f.int())
	if endpoints < 0 {
		return report, 0, fmt.Errorf("negative number of endpoints: %d", endpoints)
	}
	return Report{scheduler.EndpointUpdate{
		Full:   kind == updateFull || kind == updateFullAtStart,
		Failed: kind == updateFailed,
	}}, endpoints, nil
}

// parseEndpoint parses a line of an endpoint list.
func parseEndpoint(line string) (endpoint scheduler.Endpoint, err error) {
	f := newFields(line)
	if f.text() != kindEndpoint {
		return endpoint, fmt.Errorf("expected an item line, got %.40q", line)
	}
	endpoint.Node, endpoint.Zone = f.text(), int(f.int())
	f.int() // machine type
	endpoint.Shard = int(f.int())
	endpoint.State = nodeStates[f.text()]
	f.float() // machine speed
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
	inFlight, hasInFlight := report.LoadReport[loadReportInFlight]
	queued, hasQueued := report.LoadReport[loadReportQueued]
	e.ReportedLoad, e.HasLoadReport = max(inFlight, queued), hasInFlight || hasQueued
	return report
}

func parseResponseStarted(f *fields) (e scheduler.ResponseStarted) {
	e.ID, e.Attempt = f.uint(), int(f.int())
	f.text()     // node
	f.duration() // time since the attempt was sent
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
		return message, fmt.Errorf("message body: %w", err)
	}
	return message, nil
}
