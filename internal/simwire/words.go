// Package simwire reads and writes the text protocol of the simulator. It is the one place where
// the protocol's words are mapped to the terms of the code; it holds no decision and no default.
//
// The simulator sends batches of events and waits for the actions of each:
//
//	clock 8412250 12                    the time in microseconds, and the number of the batch
//	bell head_3 w                       events, one a line: kind, instance, values
//	registry head_3 C 41 1              an endpoint list, followed by its items
//	item shelf_a 0 0 7 SERVING 1.5 -
//	over_to_you                         the end of the batch
//
// The answer is a line for each action, and "next 12". Values are separated by single spaces, and
// "-" stands for an empty one.
package simwire

import "maddergap/scheduler"

// Lines that are not events.
const (
	wordBatch    = "clock"
	wordBatchEnd = "over_to_you"
	wordEndpoint = "item"
)

// Kinds of events.
const (
	wordStart              = "boot"
	wordStop               = "shutdown"
	wordEndpointUpdate     = "registry"
	wordArrival            = "job_in"
	wordAttemptEnded       = "ended"
	wordResponseStarted    = "begun"
	wordClientDisconnected = "dropped"
	wordTimerFired         = "bell"
	wordHealthCheckResult  = "health_result"
	wordPeerMessage        = "peer_data"
)

// Kinds of answers.
const (
	wordSend           = "dispatch"
	wordReject         = "shed"
	wordFail           = "drop_request"
	wordSetTimer       = "arm"
	wordWatchEndpoints = "track"
	wordFault          = "broken"
	wordNextBatch      = "next"
)

// Kinds of endpoint updates; others are lists of changes.
const (
	updateFull        = "F"
	updateFullAtStart = "C"
	updateFailed      = "X"
)

// flagClientRetry is the bit of an arrival's flags that marks a client's retry.
const flagClientRetry = 2

// Keys of a node's load report.
const (
	reportInFlight = "concurrent"
	reportQueued   = "depth"
)

// nodeStates maps the states of an endpoint; others count as serving.
var nodeStates = map[string]scheduler.NodeState{
	"SERVING":  scheduler.Serving,
	"DRAINING": scheduler.Draining,
	"DELETED":  scheduler.Removed,
}

// outcomes maps the outcomes of an attempt; others count as failed.
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
