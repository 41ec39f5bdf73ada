package daemon

import (
	"log/slog"
	"math"
	"time"

	"maddergap/internal/discovery"
	"maddergap/internal/gateway"
)

// outageAfter is the time without a usable response after which an outage of discovery is logged. A
// watch is a call to which discovery may delay its response while nothing changes (it holds the watch).
// The time for which it may do so does not count.
const outageAfter = time.Second

// outageLog logs when discovery becomes unavailable, why its responses are rejected during the outage,
// and when it recovers. It writes one line for each change, regardless of the number of calls.
type outageLog struct {
	log       *slog.Logger
	startedAt time.Duration // time, on the event loop's clock, at which the instance began to call discovery

	// The last outage that was logged, if any. The fields below describe it.
	unavailable        bool
	lastResponseBefore time.Duration // time of the last usable response before the outage, or startedAt
	callsAtStart       int           // number of calls sent before the outage was logged
	lastError          string        // last error that was logged; "" if there was none
}

// update logs the change, if any, since the last call.
func (o *outageLog) update(now time.Duration, status discovery.Status) {
	lastResponse := max(status.LastResponseAt, o.startedAt)
	switch {
	case !o.unavailable && now-max(lastResponse, status.WatchHeldUntil) >= outageAfter:
		o.begin(lastResponse, status)
		o.log.Warn("discovery unavailable; the last good list stays in effect",
			"version", status.Version, "error", o.lastError, "since", now-lastResponse)
	case o.unavailable && status.LastResponseAt > o.lastResponseBefore:
		o.unavailable = false
		o.log.Info("discovery recovered", "version", status.Version, "after", status.LastResponseAt-o.lastResponseBefore,
			"calls", status.CallsSent-o.callsAtStart, "calls_abandoned", status.CallsAbandoned)
	case o.unavailable && status.LastError != nil && status.LastError.Error() != o.lastError:
		o.lastError = status.LastError.Error()
		o.log.Warn("endpoint list ignored; the last good list stays in effect", "error", o.lastError)
	}
}

// begin records the start of an outage.
func (o *outageLog) begin(lastResponse time.Duration, status discovery.Status) {
	o.unavailable = true
	o.lastResponseBefore = lastResponse
	o.callsAtStart = status.CallsSent
	o.lastError = ""
	if status.LastError != nil {
		o.lastError = status.LastError.Error()
	}
}

// maxNodeStateLines bounds the number of nodes that are logged at a time.
const maxNodeStateLines = 64

// nodeStateLog logs, at an interval, the scheduler's state of each node and the connections to it. A
// line has "mismatch" set if in_flight, the scheduler's number of attempts, differs from
// active_connections, the number of connections with an attempt. The two may differ for a moment, until
// the scheduler is notified of a change. in_window is the part of in_flight that counts against the
// node's concurrency window. Attempts that were in flight when the node's circuit breaker opened do not.
type nodeStateLog struct {
	log      *slog.Logger
	interval time.Duration // nothing is logged if 0
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
