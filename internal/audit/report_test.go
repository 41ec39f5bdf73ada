package audit

import (
	"slices"
	"strings"
	"testing"
	"time"

	"maddergap/internal/fakenode"
)

// Verifies that late responses are reported even if LateTolerance allows them. One of the two is for a
// request of the startup, the other arrives during a stall.
func TestDeadlineMisses(t *testing.T) {
	const late = int64(30_000) // microseconds
	lateRead := func(number int, sentAt int64) RequestRecord {
		return newRequest(number, readClass, RequestRecord{Responses: 1, Status: 200, SentAt: sentAt, RespondedAt: sentAt + second + late*int64(number)})
	}
	report := Judge(Input{
		Config:        testConfig(t),
		Requests:      []RequestRecord{lateRead(2, 20*second), lateRead(1, 2*second), newRequest(3, readClass, RequestRecord{Responses: 1, Status: 200})},
		StartedAt:     second,
		Stalls:        []Interval{{From: 21 * second, To: 21*second + late}, {From: 40 * second, To: 40*second + 2*late}},
		LateTolerance: time.Second,
	})
	misses := report.DeadlineMisses
	if want := []time.Duration{30 * time.Millisecond, 60 * time.Millisecond}; !slices.Equal(misses.Delays, want) {
		t.Errorf("got delays %v, want %v", misses.Delays, want)
	}
	if misses.DuringStartup != 1 || misses.DuringStalls != 1 || misses.LongestStall != 60*time.Millisecond {
		t.Errorf("%+v", misses)
	}
	if !report.Passed() {
		t.Errorf("violated rules: got %v, want none", report.ViolatedRules())
	}
}

// Verifies the exact text of the report, because people and scripts read it.
func TestReportText(t *testing.T) {
	report := Judge(Input{
		Config: testConfig(t),
		Requests: []RequestRecord{
			newRequest(1, readClass, RequestRecord{Responses: 1, Status: 200, Units: 2, SentAt: second, RespondedAt: second + 50_000}),
			newRequest(2, readClass, RequestRecord{ConnectionLostAt: 3 * second, Units: 1}),
			newRequest(3, writeClass, RequestRecord{Responses: 1, Status: 503, Units: 1, SentAt: 9 * second}),
		},
		Attempts:  []fakenode.Entry{newAttempt(1, "n", attemptAt, executed)},
		StartedAt: second,
	})
	var text strings.Builder
	report.Write(&text)
	want := `rule                              figure  bound  verdict         of
1     one final answer in time    1       0      BROKEN 1 times  requests without, or with another
2     no effect twice             0       0      kept            unsafe repeats or false refusals
3     drains kept                 0       0      kept            ms past being told, of the last send
4     cold nodes not pushed over  0       0      kept            x what the node can do, in any window
5     order kept                  0       0      kept            requests beside or before their turn
6     attempt budget              0       1      kept            x the budget, in any window
7     limits with their slack     0       1      kept            x the bucket with its slack, at the fullest
rule 1: 00000000000000000000000000000002 sent to head 0 at 00:00:01.000000 has no answer, its connection ended 2s later
answers after their deadline: 0 (p50 0s, p99 0s, most 0s); 0 in the first 5s; 0 while the rig was held up (most 0s)
the first 5s: worth on time 0.667 of what was due, refused 0, without answer 1
requests 3: served 1 (late 0), refused 1, failed 0, gave up 0, lost with a killed head 1; attempts 1
served: p50 50ms, p99 50ms
worth served on time 4 of 7 due: 0.571
`
	if text.String() != want {
		t.Errorf("got report\n%s\nwant\n%s", text.String(), want)
	}
}
