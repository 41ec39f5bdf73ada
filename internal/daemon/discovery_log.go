package daemon

import (
	"log/slog"
	"math"
	"time"

	"maddergap/internal/discovery"
	"maddergap/internal/gateway"
)

// outageAfter is how long discovery has to be silent before that is logged as an outage. A watch
// that it may hold is no silence.
const outageAfter = time.Second

// outageLog logs when discovery becomes unavailable, why its responses are rejected, and when it
// has recovered: one line for each change, however many calls are made meanwhile.
type outageLog struct {
	log       *slog.Logger
	startedAt time.Duration // when the instance began to call

	// The outage that was logged last; the fields below are of it.
	unavailable  bool
	since        time.Duration // of the last good response before it
	callsAtStart int
	lastError    string
}

func (o *outageLog) update(now time.Duration, status discovery.Status) {
	lastResponse := max(status.LastResponseAt, o.startedAt)
	switch {
	case !o.unavailable && now-max(lastResponse, status.WatchHeldUntil) >= outageAfter:
		o.begin(lastResponse, status)
		o.log.Warn("discovery unavailable; the last good list stays in effect",
			"version", status.Version, "error", o.lastError, "since", now-lastResponse)
	case o.unavailable && status.LastResponseAt > o.since:
		o.unavailable = false
		o.log.Info("discovery recovered", "version", status.Version, "after", status.LastResponseAt-o.since,
			"calls", status.CallsSent-o.callsAtStart, "calls_abandoned", status.CallsAbandoned)
	case o.unavailable && status.LastError != nil && status.LastError.Error() != o.lastError:
		o.lastError = status.LastError.Error()
		o.log.Warn("endpoint list ignored; the last good list stays in effect", "error", o.lastError)
	}
}

func (o *outageLog) begin(lastResponse time.Duration, status discovery.Status) {
	o.unavailable = true
	o.since = lastResponse
	o.callsAtStart = status.CallsSent
	o.lastError = ""
	if status.LastError != nil {
		o.lastError = status.LastError.Error()
	}
}

// maxNodeStateLines bounds the nodes that are logged at once.
const maxNodeStateLines = 64

// nodeStateLog logs, at an interval, what the scheduler holds of each node beside what is on its
// sockets. The two differ while attempts are written off, or before the scheduler was notified.
type nodeStateLog struct {
	log      *slog.Logger
	interval time.Duration // 0: never
	loggedAt time.Duration
}

func (l *nodeStateLog) update(now time.Duration, client *discovery.Client, g *gateway.Gateway) {
	if l.interval <= 0 || now < l.loggedAt+l.interval {
		return
	}
	l.loggedAt = now
	l.logInstance(client.Status(), g.Counts())
	for i, node := range g.Status() {
		if i == maxNodeStateLines {
			break
		}
		l.logNode(&node)
	}
}

func (l *nodeStateLog) logInstance(status discovery.Status, n gateway.Counts) {
	l.log.Info("instance state", "version", status.Version, "lists", status.ListsReceived, "lag", n.Lag,
		"clients", n.Clients, "node_connections", n.NodeConns,
		"received", n.Received, "served", n.Served, "rejected", n.Rejected, "failed", n.Failed, "disconnected", n.Disconnected)
}

func (l *nodeStateLog) logNode(v *gateway.NodeStatus) {
	l.log.Info("node state", "node", v.Node, "state", int(v.State),
		"in_flight", v.InFlight, "in_window", v.InWindow, "active_connections", v.NodeConnections.Active, "mismatch", v.InFlight != v.NodeConnections.Active,
		"unsent", v.Unsent, "idle_connections", v.Idle, "queued", v.Queued, "wait_reason", v.WaitReason.String(),
		"window", roundHundredth(v.Window), "expected_latency", v.ExpectedLatency, "pressure", roundHundredth(v.Pressure),
		"breaker_open", v.NodeStatus.BreakerOpen, "warming_up", v.WarmingUp)
}

func roundHundredth(x float64) float64 { return math.Round(x*100) / 100 }
