package audit

import (
	"fmt"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/fakenode"
	"maddergap/scheduler"
)

// startAt is when the requests of the platform's tests are sent, in microseconds.
const startAt = int64(1_000_000_000)

// msAfterStart is a time of a record, by milliseconds after startAt.
func msAfterStart(ms int64) int64 { return startAt + ms*1000 }

// platformInput has what is judged on the platform alone: clients disconnect, attempts carry
// timeouts, instances are notified one by one, and nodes bear a number of requests of a mean work.
// A node that has just started bears about 5 requests in a window, 0.5 x 10, and 3*sqrt(5)+3 more
// by chance: 14.
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

func platformRequest(traceID string) RequestRecord {
	return RequestRecord{TraceID: traceID, Volume: "v", SentAt: msAfterStart(0), Deadline: msAfterStart(1000),
		RespondedAt: msAfterStart(900), Responses: 1, Status: 200, Units: 1}
}

// platformAttempt is an attempt of a request, which arrives some milliseconds after startAt.
func platformAttempt(traceID string, ms int64) fakenode.Entry {
	return fakenode.Entry{Node: "n", Traceparent: traceID, ReceivedAt: msAfterStart(ms), ExecutedAt: msAfterStart(ms + 1),
		RespondedAt: msAfterStart(ms + 2), Status: 200, Units: 1}
}

// The client of a request disconnects after 100 ms. The gateway may not know of that yet, for a
// grace of 100 ms.
func TestAttemptAfterDisconnect(t *testing.T) {
	disconnected := RequestRecord{TraceID: "a", Volume: "v", SentAt: msAfterStart(0), Deadline: msAfterStart(1000), DisconnectedAt: msAfterStart(100), Units: 1}
	for _, test := range []struct {
		name  string
		after int64 // of the attempt, in milliseconds
		want  []Rule
	}{
		{"within the grace", 205, nil},
		{"past the grace", 215, []Rule{RuleSingleResponse}},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkJudge(t, platformInput([]RequestRecord{disconnected}, []fakenode.Entry{platformAttempt("a", test.after)}), test.want)
		})
	}
}

// An attempt is sent 500 ms before the deadline, with a timeout that is longer than that: by what is
// tolerated, and by more.
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

// An instance is notified that a node drains, and sends to it. Notices of other instances, and
// those that another has ended, do not count.
func TestDrainNotices(t *testing.T) {
	for _, test := range []struct {
		name   string
		after  int64 // of the attempt, in milliseconds
		notice Notice
		want   []Rule
	}{
		{"within the grace", 505, Notice{Instance: 0, Node: "n", From: msAfterStart(0)}, nil},
		{"past the grace", 515, Notice{Instance: 0, Node: "n", From: msAfterStart(0)}, []Rule{RuleNodeServing}},
		{"another instance was notified", 515, Notice{Instance: 1, Node: "n", From: msAfterStart(0)}, nil},
		{"the node serves again", 700, Notice{Instance: 0, Node: "n", From: msAfterStart(0), To: msAfterStart(600)}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			in := platformInput([]RequestRecord{platformRequest("a")}, []fakenode.Entry{platformAttempt("a", test.after)})
			in.DrainNotices = []Notice{test.notice}
			checkJudge(t, in, test.want)
		})
	}
}

// A node starts, and gets a number of requests at once 100 ms later: what it bears, and more. An
// instance that was not notified of the start is not blamed.
func TestLoadWhileWarmingUp(t *testing.T) {
	for _, test := range []struct {
		name    string
		count   int
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
