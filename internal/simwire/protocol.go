// Package simwire reads and writes the text protocol of the simulator. Only this package translates
// between the protocol's names and the terms of the code. It makes no scheduling decisions and sets no
// defaults.
//
// The simulator sends a batch of events, and waits for the reply before it sends the next batch:
//
//	clock 8412250 12                    simulated time in microseconds, number of the batch
//	bell head_3 w                       one line for each event: kind, instance, values
//	registry head_3 C 41 1              an endpoint update, followed by its items
//	item shelf_a 0 0 7 SERVING 1.5 -
//	over_to_you                         end of the batch
//
// The reply has a line for each action, and ends with the line "next 12", which repeats the number of
// the batch. Values are separated by single spaces; "-" stands for an empty value.
package simwire

import "maddergap/scheduler"

// Kinds of the input lines that are not events. A line of kindBatchEnd has no values.
const (
	kindBatch    = "clock"
	kindBatchEnd = "over_to_you"
	kindEndpoint = "item"
)

// Kinds of event lines.
const (
	kindStart              = "boot"
	kindStop               = "shutdown"
	kindEndpointUpdate     = "registry"
	kindArrival            = "job_in"
	kindAttemptEnded       = "ended"
	kindResponseStarted    = "begun"
	kindClientDisconnected = "dropped"
	kindTimerFired         = "bell"
	kindHealthCheckResult  = "health_result"
	kindPeerMessage        = "peer_data"
)

// Kinds of lines in a reply.
const (
	kindSend           = "dispatch"
	kindReject         = "shed"
	kindFail           = "drop_request"
	kindSetTimer       = "arm"
	kindWatchEndpoints = "track"
	kindFault          = "broken"
	kindNextBatch      = "next"
)

// Kinds of endpoint updates. Any other kind is a list of changes.
const (
	updateFull        = "F"
	updateFullAtStart = "C"
	updateFailed      = "X"
)

// flagClientRetry is the bit in the flags of an arrival that is set for a retry by the client.
const flagClientRetry = 2

// Keys in a node's load report.
const (
	loadReportInFlight = "concurrent"
	loadReportQueued   = "depth"
)

// nodeStates maps the protocol's endpoint states. A state that is not listed counts as serving.
var nodeStates = map[string]scheduler.NodeState{
	"SERVING":  scheduler.Serving,
	"DRAINING": scheduler.Draining,
	"DELETED":  scheduler.Removed,
}

// outcomes maps the protocol's outcomes of attempts and health checks. An outcome that is not listed
// counts as failed.
var outcomes = map[string]scheduler.Outcome{
	"done":         scheduler.OK,
	"err":          scheduler.Failed,
	"busy":         scheduler.QueueFull,
	"etimedout":    scheduler.TimedOut,
	"econnrefused": scheduler.ConnectFailed,
	"econnreset":   scheduler.Reset,
	"ecanceled":    scheduler.Cancelled,
	"skipped":      scheduler.NotSent,
}
