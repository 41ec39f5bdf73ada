package admission

import "time"

// A client that pipelines requests which the gateway answers itself, such as health checks or requests
// that are rejected, can have thousands of them answered for each read. Without a limit, one such client
// would delay the responses to all others. So a connection begins a few requests in a turn, and the next
// one in a later turn. Requests that wait for a node are not affected, as the next one begins after the
// response.
const (
	turnInterval       = time.Millisecond
	maxRequestsPerTurn = 8
)

// Turn counts the requests that a connection has begun in its present turn.
type Turn struct {
	startedAt Time
	requests  int
}

// Begin counts a request.
func (t *Turn) Begin(now Time) {
	if now >= t.End() {
		*t = Turn{startedAt: now}
	}
	t.requests++
}

// Over reports whether no further request may begin before End.
func (t *Turn) Over(now Time) bool { return t.requests >= maxRequestsPerTurn && now < t.End() }

// End returns when the next turn can begin.
func (t *Turn) End() Time { return t.startedAt + turnInterval }
