package audit

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/fakenode"
)

// second is one second in microseconds, the unit of record times.
const second = int64(1e6)

// attemptAt is the time at which the attempts of most tests arrive at their node.
const attemptAt = second + 1000

// Indexes of the classes of testConfig.
const (
	readClass       = iota // safe
	writeClass             // non-idempotent
	idempotentClass        // idempotent, with a deduplication window of two seconds
	orderedClass           // non-idempotent
)

// testConfig returns a configuration with a volume v, which has a limit of 10 units per second and a
// burst of 10 units, and a volume w without a limit.
func testConfig(t *testing.T) *config.Config {
	t.Helper()
	c, err := config.Parse("t", []byte(`listen 127.0.0.1:0
nodes n
heads 2
class read effect safe aim 100ms deadline 1s worth 2 late 0.5
class write effect unsafe aim 100ms deadline 1s
class once effect keyed window 2s aim 100ms deadline 5s
class log effect unsafe aim 100ms deadline 1s ordered yes
plan p rate 1 limit 10 burst 10
plan free rate 1
volume v plan p shards 0
volume w plan free shards 0
budget free 1 share 0.1 over 1s
units bytes 1k most 4
route * class read
`))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func testTraceID(number int) string { return fmt.Sprintf("%032x", number) }

// newAttempt returns e as an attempt of the request with the given number.
func newAttempt(number int, node string, receivedAt int64, e fakenode.Entry) fakenode.Entry {
	e.Traceparent = "00-" + testTraceID(number) + "-0000000000000001-00"
	e.Node = node
	e.ReceivedAt = receivedAt
	return e
}

// newRequest returns r as a request with the given number and class. By default the request is for volume
// w, is sent at the time second, has its deadline one second later, and gets its response, if any, after a
// tenth of a second.
func newRequest(number, class int, r RequestRecord) RequestRecord {
	r.TraceID = testTraceID(number)
	r.Class = class
	if r.Volume == "" {
		r.Volume = "w"
	}
	if r.SentAt == 0 {
		r.SentAt = second
	}
	if r.Deadline == 0 {
		r.Deadline = r.SentAt + second
	}
	if r.Responses == 1 && r.RespondedAt == 0 {
		r.RespondedAt = r.SentAt + second/10
	}
	return r
}

var (
	// servedRead is a request that violates no rule.
	servedRead = newRequest(1, readClass, RequestRecord{Responses: 1, Status: 200, Units: 1})
	// executed is an attempt that was executed, queueFull an attempt that the node rejected.
	executed  = fakenode.Entry{ExecutedAt: attemptAt + 10, RespondedAt: attemptAt + 20, Status: 200, Units: 1}
	queueFull = fakenode.Entry{Status: 503, RespondedAt: attemptAt + 10}
)

// judgeTest is a run and the rules that the audit should report as violated.
type judgeTest struct {
	name     string
	requests []RequestRecord
	attempts []fakenode.Entry
	change   func(*Input) // changes the input; may be nil
	want     []Rule
}

func runJudgeTests(t *testing.T, tests []judgeTest) {
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := Input{
				Config:         testConfig(t),
				Requests:       test.requests,
				Attempts:       test.attempts,
				DrainGrace:     500 * time.Millisecond,
				ClockTolerance: 20 * time.Millisecond,
				LateTolerance:  50 * time.Millisecond,
				SlowStart:      SlowStart{Capacity: 10, InitialFraction: 0.2, WarmupDuration: time.Second, OverloadFactor: 2, OverloadWindow: time.Second},
			}
			if test.change != nil {
				test.change(&in)
			}
			checkJudge(t, in, test.want)
		})
	}
}

// checkJudge checks which rules Judge reports as violated, and that the printed report agrees.
func checkJudge(t *testing.T, in Input, want []Rule) {
	t.Helper()
	report := Judge(in)
	if got := report.ViolatedRules(); !slices.Equal(got, want) {
		t.Errorf("violated rules: got %v, want %v", got, want)
	}
	var text strings.Builder
	report.Write(&text)
	if strings.Contains(text.String(), "BROKEN") == report.Passed() {
		t.Errorf("the printed report does not agree with Passed: %s", text.String())
	}
	for _, v := range report.Verdicts {
		for _, example := range v.Examples {
			if example.Rule != v.Rule || !strings.Contains(example.Detail, example.Subject) || !strings.Contains(text.String(), example.String()+"\n") {
				t.Errorf("example %+v of rule %d is wrong, or missing in the printed report:\n%s", example, v.Rule, text.String())
			}
		}
	}
}

// Verifies that a request without a response, with two responses, with a late response or with an
// attempt after its response violates the rule, and so does an attempt that belongs to no request. No
// response is required if the client disconnected or the instance was killed.
func TestSingleResponse(t *testing.T) {
	unanswered := newRequest(1, readClass, RequestRecord{ConnectionLostAt: 3 * second})
	runJudgeTests(t, []judgeTest{
		{"served", []RequestRecord{servedRead}, []fakenode.Entry{newAttempt(1, "n", attemptAt, executed)}, nil, nil},
		{"no response", []RequestRecord{unanswered}, nil, nil, []Rule{RuleSingleResponse}},
		{"no response from a killed instance", []RequestRecord{unanswered}, nil,
			func(in *Input) { in.Outages = []Interval{{"0", 2 * second, 4 * second}} }, nil},
		{"no response while another instance was killed", []RequestRecord{unanswered}, nil,
			func(in *Input) { in.Outages = []Interval{{"1", 2 * second, 4 * second}} }, []Rule{RuleSingleResponse}},
		{"client disconnected", []RequestRecord{newRequest(1, readClass, RequestRecord{DisconnectedAt: 2 * second})}, nil, nil, nil},
		{"two responses", []RequestRecord{newRequest(1, readClass, RequestRecord{Responses: 2, Status: 200, RespondedAt: attemptAt})}, nil, nil, []Rule{RuleSingleResponse}},
		{"late response", []RequestRecord{newRequest(1, readClass, RequestRecord{Responses: 1, Status: 200, RespondedAt: 3 * second})}, nil, nil, []Rule{RuleSingleResponse}},
		{"attempt after the response", []RequestRecord{servedRead}, []fakenode.Entry{newAttempt(1, "n", 2*second, executed)}, nil, []Rule{RuleSingleResponse}},
		{"attempt of no request", []RequestRecord{servedRead}, []fakenode.Entry{newAttempt(9, "n", attemptAt, executed)}, nil, []Rule{RuleSingleResponse}},
	})
}

// Verifies that a retry is allowed or not depending on the request's class and on what is known about
// the first attempt.
func TestSafeRetry(t *testing.T) {
	servedWrite := newRequest(1, writeClass, RequestRecord{Responses: 1, Status: 200})
	slowIdempotent := func(respondedAt int64) RequestRecord {
		return newRequest(1, idempotentClass, RequestRecord{Responses: 1, Status: 200, Deadline: 9 * second, RespondedAt: respondedAt})
	}
	unknown := fakenode.Entry{} // no response: the attempt may have been executed
	runJudgeTests(t, []judgeTest{
		{"safe, executed twice", []RequestRecord{servedRead},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, executed), newAttempt(1, "n", attemptAt+1, executed)}, nil, nil},
		{"non-idempotent, executed twice", []RequestRecord{servedWrite},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, executed), newAttempt(1, "m", attemptAt+1, executed)}, nil, []Rule{RuleSafeRetry}},
		{"non-idempotent, may have been executed", []RequestRecord{servedWrite},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, unknown), newAttempt(1, "m", attemptAt+1, executed)}, nil, []Rule{RuleSafeRetry}},
		{"non-idempotent, queue was full", []RequestRecord{servedWrite},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, queueFull), newAttempt(1, "m", attemptAt+1, executed)}, nil, nil},
		{"non-idempotent, rejected though executed", []RequestRecord{newRequest(1, writeClass, RequestRecord{Responses: 1, Status: 503})},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, executed)}, nil, []Rule{RuleSafeRetry}},
		{"non-idempotent, failed and executed", []RequestRecord{newRequest(1, writeClass, RequestRecord{Responses: 1, Status: 504})},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, executed)}, nil, nil},
		{"idempotent, within its window", []RequestRecord{slowIdempotent(4 * second)},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, unknown), newAttempt(1, "n", attemptAt+second, executed)}, nil, nil},
		{"idempotent, past its window", []RequestRecord{slowIdempotent(5 * second)},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, unknown), newAttempt(1, "n", attemptAt+3*second, executed)}, nil, []Rule{RuleSafeRetry}},
	})
}

// Verifies that an attempt on a draining node is allowed within the grace and violates the rule later.
func TestNodeServing(t *testing.T) {
	requests, attempts := []RequestRecord{servedRead}, []fakenode.Entry{newAttempt(1, "n", attemptAt, executed)}
	drainedSince := func(node string, from int64) func(*Input) {
		return func(in *Input) { in.Drains = []Interval{{node, from, 0}} }
	}
	runJudgeTests(t, []judgeTest{
		{"within the grace", requests, attempts, drainedSince("n", attemptAt-second/4), nil},
		{"past the grace", requests, attempts, drainedSince("n", attemptAt-second), []Rule{RuleNodeServing}},
		{"another node drains", requests, attempts, drainedSince("m", attemptAt-second), nil},
	})
}

// Verifies that an attempt that makes a node fail from overload violates the rule.
func TestOverloadedNode(t *testing.T) {
	runJudgeTests(t, []judgeTest{
		{"overloaded", []RequestRecord{servedRead},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, fakenode.Entry{Overloaded: true, Status: 200, RespondedAt: attemptAt})}, nil, []Rule{RuleSlowStart}},
	})
}

// Verifies that two requests of an order key violate the rule if they overlap or are executed in the
// wrong order, and that requests of different keys may overlap.
func TestKeyOrder(t *testing.T) {
	ordered := func(number int, key string, r RequestRecord) RequestRecord {
		r.Responses, r.Status, r.OrderKey = 1, 200, key
		return newRequest(number, orderedClass, r)
	}
	first := ordered(1, "k", RequestRecord{})
	inProgress := fakenode.Entry{RespondedAt: attemptAt + second/2, Status: 200}
	runJudgeTests(t, []judgeTest{
		{"one after the other", []RequestRecord{first, ordered(2, "k", RequestRecord{SentAt: second + 5})},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, executed), newAttempt(2, "n", attemptAt+30, executed)}, nil, nil},
		{"at the same time", []RequestRecord{first, ordered(2, "k", RequestRecord{})},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, inProgress), newAttempt(2, "n", attemptAt+30, executed)}, nil, []Rule{RuleKeyOrder}},
		{"the later one first", []RequestRecord{first, ordered(2, "k", RequestRecord{SentAt: 2 * second, RespondedAt: 2*second + 9})},
			[]fakenode.Entry{newAttempt(1, "n", 2*second, fakenode.Entry{RespondedAt: 2*second + 10, Status: 200}),
				newAttempt(2, "n", 2*second-5, fakenode.Entry{RespondedAt: 2*second - 1})},
			func(in *Input) { in.Requests[0].RespondedAt, in.Requests[0].Deadline = 2*second+10, 3*second }, []Rule{RuleKeyOrder}},
		{"different keys", []RequestRecord{first, ordered(2, "j", RequestRecord{})},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, fakenode.Entry{RespondedAt: attemptAt + second/2}), newAttempt(2, "n", attemptAt+30, executed)}, nil, nil},
	})
}

// Verifies that two retries violate a retry budget of one retry plus a tenth of the requests.
func TestRetryBudget(t *testing.T) {
	runJudgeTests(t, []judgeTest{
		{"two retries", []RequestRecord{servedRead},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, executed), newAttempt(1, "n", attemptAt+1, executed), newAttempt(1, "n", attemptAt+2, executed)}, nil, []Rule{RuleRetryBudget}},
	})
}

// Verifies that requests of the size of the burst are allowed at once, and twice as much is not.
func TestTenantLimit(t *testing.T) {
	burst := func(number int) RequestRecord {
		return newRequest(number, readClass, RequestRecord{Volume: "v", Units: 10, Responses: 1, Status: 200})
	}
	runJudgeTests(t, []judgeTest{
		{"within the limit", []RequestRecord{burst(1)}, []fakenode.Entry{newAttempt(1, "n", attemptAt, executed)}, nil, nil},
		{"beyond the limit", []RequestRecord{burst(1), burst(2)},
			[]fakenode.Entry{newAttempt(1, "n", attemptAt, executed), newAttempt(2, "n", attemptAt+1, executed)}, nil, []Rule{RuleTenantLimit}},
	})
}

// Verifies the totals of the report for a response in time, one later than its latency objective and a
// rejection. The first earns its full priority weight, the second half of it, the third nothing.
func TestSummary(t *testing.T) {
	r := Judge(Input{Config: testConfig(t), Requests: []RequestRecord{
		newRequest(1, readClass, RequestRecord{Responses: 1, Status: 200, Units: 2, RespondedAt: second + 50_000}),
		newRequest(2, readClass, RequestRecord{Responses: 1, Status: 200, Units: 1, RespondedAt: second + 500_000}),
		newRequest(3, writeClass, RequestRecord{Responses: 1, Status: 503, Units: 1}),
	}, LateTolerance: time.Second})
	if r.OfferedWeight != 2*2+2+1 || r.EarnedWeight != 4+1 || r.MissedObjective != 1 || r.Rejected != 1 || r.LatencyQuantile(1) != 500*time.Millisecond {
		t.Errorf("%+v", r)
	}
}
