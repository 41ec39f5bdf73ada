package audit

import (
	"fmt"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/fakenode"
	"maddergap/scheduler"
)

// startAt is the time at which the requests of these tests are sent, in microseconds.
const startAt = int64(1_000_000_000)

// msAfterStart returns the record time that is ms milliseconds after startAt.
func msAfterStart(ms int64) int64 { return startAt + ms*1000 }

// platformInput returns an input with the parameters that only runs on the platform's protocol (package
// soak) set: a disconnect grace, a timeout tolerance, and a mean work of requests. A node that has just
// started may receive about 5 requests in a window (0.5 x 10) plus 3*sqrt(5)+3 by chance: 14.
func platformInput(requests []RequestRecord, attempts []fakenode.Entry) Input {
	return Input{
		Config: &config.Config{
			Scheduler: scheduler.Settings{Classes: []scheduler.Class{{Name: "read", Effect: scheduler.Safe}}, Plans: []scheduler.Plan{{}}},
			Volumes:   []config.Volume{{Name: "v"}},
		},
		Requests:         requests,
		Attempts:         attempts,
		DrainGrace:       500 * time.Millisecond,
		DisconnectGrace:  100 * time.Millisecond,
		TimeoutTolerance: 150 * time.Millisecond,
		ClockTolerance:   10 * time.Millisecond,
		SlowStart: SlowStart{
			MeanUnits:       1,
			MinUnits:        4,
			Capacity:        10,
			InitialFraction: 0.5,
			WarmupDuration:  10 * time.Second,
			OverloadFactor:  1,
			OverloadWindow:  time.Second,
		},
	}
}

// platformRequest returns a request that is sent at startAt and gets its response in time.
func platformRequest(traceID string) RequestRecord {
	return RequestRecord{TraceID: traceID, Volume: "v", SentAt: msAfterStart(0), Deadline: msAfterStart(1000),
		RespondedAt: msAfterStart(900), Responses: 1, Status: 200, Units: 1}
}

// platformAttempt returns an attempt of a request that arrives ms milliseconds after startAt.
func platformAttempt(traceID string, ms int64) fakenode.Entry {
	return fakenode.Entry{Node: "n", Traceparent: traceID, ReceivedAt: msAfterStart(ms), ExecutedAt: msAfterStart(ms + 1),
		RespondedAt: msAfterStart(ms + 2), Status: 200, Units: 1}
}

// Verifies that an attempt may begin up to DisconnectGrace (100 ms) after the client disconnected, in
// which time the gateway may not have noticed the disconnect yet, and violates the rule later.
func TestAttemptAfterDisconnect(t *testing.T) {
	disconnected := RequestRecord{TraceID: "a", Volume: "v", SentAt: msAfterStart(0), Deadline: msAfterStart(1000), DisconnectedAt: msAfterStart(100), Units: 1}
	for _, test := range []struct {
		name      string
		attemptMs int64 // arrival of the attempt, in milliseconds after startAt
		want      []Rule
	}{
		{"within the grace", 205, nil},
		{"past the grace", 215, []Rule{RuleSingleResponse}},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkJudge(t, platformInput([]RequestRecord{disconnected}, []fakenode.Entry{platformAttempt("a", test.attemptMs)}), test.want)
		})
	}
}

// Verifies that the timeout of an attempt may extend beyond the deadline by TimeoutTolerance (150 ms)
// and the clock tolerance, and violates the rule if it is longer.
func TestTimeoutBeyondDeadline(t *testing.T) {
	for _, test := range []struct {
		name    string
		timeout int64 // microseconds
		want    []Rule
	}{
		{"tolerated", 650_000, nil},
		{"too long", 670_000, []Rule{RuleSingleResponse}},
	} {
		t.Run(test.name, func(t *testing.T) {
			entry := platformAttempt("a", 500)
			entry.Timeout = test.timeout
			checkJudge(t, platformInput([]RequestRecord{platformRequest("a")}, []fakenode.Entry{entry}), test.want)
		})
	}
}

// Verifies that an instance may send to a node up to DrainGrace after it was notified that the node
// drains. Notices to other instances, and notices that a later one has ended, do not count.
func TestDrainNotices(t *testing.T) {
	for _, test := range []struct {
		name      string
		attemptMs int64 // arrival of the attempt, in milliseconds after startAt
		notice    Notice
		want      []Rule
	}{
		{"within the grace", 505, Notice{Instance: 0, Node: "n", From: msAfterStart(0)}, nil},
		{"past the grace", 515, Notice{Instance: 0, Node: "n", From: msAfterStart(0)}, []Rule{RuleNodeServing}},
		{"another instance was notified", 515, Notice{Instance: 1, Node: "n", From: msAfterStart(0)}, nil},
		{"the node serves again", 700, Notice{Instance: 0, Node: "n", From: msAfterStart(0), To: msAfterStart(600)}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			in := platformInput([]RequestRecord{platformRequest("a")}, []fakenode.Entry{platformAttempt("a", test.attemptMs)})
			in.DrainNotices = []Notice{test.notice}
			checkJudge(t, in, test.want)
		})
	}
}

// Verifies the limit on the number of requests that a node receives at once 100 ms after its start. Load
// from an instance that was not notified of the start is no violation.
func TestLoadWhileWarmingUp(t *testing.T) {
	for _, test := range []struct {
		name    string
		count   int // number of requests
		notices []Notice
		want    []Rule
	}{
		{"at the bound", 14, nil, nil},
		{"beyond the bound", 18, nil, []Rule{RuleSlowStart}},
		{"by an instance that was notified", 18, []Notice{{Instance: 0, Node: "n", From: msAfterStart(50)}}, []Rule{RuleSlowStart}},
		{"by an instance that was not notified", 18, []Notice{{Instance: 1, Node: "n", From: msAfterStart(50)}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			in := platformInput(nil, nil)
			in.NodeStarts = []Interval{{Name: "n", From: msAfterStart(0)}}
			in.StartNotices = test.notices
			for i := range test.count {
				id := fmt.Sprint("c", i)
				in.Requests = append(in.Requests, platformRequest(id))
				in.Attempts = append(in.Attempts, platformAttempt(id, 100))
			}
			checkJudge(t, in, test.want)
		})
	}
}
