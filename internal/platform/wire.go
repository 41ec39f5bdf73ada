package platform

import "maddergap/scheduler"

// The platform uses its own names on the wire, in the configuration and in the environment. They are
// mapped to the terms of this module here and in packages discovery (node list) and settings (settings
// object):
//
//	platform              here
//	head                  gateway, instance
//	shelf                 node
//	X-Txn                 request ID
//	X-Lane                class
//	Tier, grade           plan
//	Piece                 key
//	IO-Info volume        volume
//	IO-Info units         units, the size of a request
//	IO-Info shard         shard that holds the data
//	IO-Info hosts         instances through which the volume's requests come
//	X-Remaining           time remaining of a request, timeout of an attempt
//	X-Resent              client retry
//	X-Pressure            load report of a node
//	X-Turned-Away         rejected by the node without being executed
//	known (configuration) initial node list

// Environment variables that the platform sets.
const (
	EnvConfig    = "ROUTER_CONFIG"    // path of the configuration file
	EnvName      = "ROUTER_NAME"      // name of the instance, if missing in the file
	EnvListen    = "ROUTER_LISTEN"    // host:port to listen on, if missing in the file
	EnvDiscovery = "ROUTER_DISCOVERY" // host:port of discovery, if missing in the file
)

// Header fields of requests.
const (
	headerRequestID     = "X-Txn"
	headerClass         = "X-Lane"
	headerPlan          = "Tier"
	headerKey           = "Piece"
	headerTimeRemaining = "X-Remaining"
	headerClientRetry   = "X-Resent"
	headerIOInfo        = "IO-Info"
)

// Header fields of responses.
const (
	headerLoadReport   = "X-Pressure"
	headerNodeRejected = "X-Turned-Away"
	headerRetryAfter   = "Retry-After"
)

// flagHeaderValue is the value of headerClientRetry and headerNodeRejected if the flag is set.
const flagHeaderValue = "1"

// Members of headerIOInfo.
const (
	ioInfoVolume    = "volume"
	ioInfoUnits     = "units"
	ioInfoShard     = "shard"
	ioInfoInstances = "hosts"
	newObjectShard  = "-1" // value of ioInfoShard for an object that no node stores yet
)

// Paths of health checks, to which the gateway itself responds.
const (
	reservedPathPrefix = "/-/" // requests with this prefix are not forwarded
	pathReady          = "/-/ready"
	pathHealthy        = "/-/healthy"
)

// isLoadMember reports whether a member of a load report is a number of requests at the node, waiting
// or in progress. It accepts the names of the protocol and the alternative names that the platform's
// settings may choose.
func isLoadMember(name []byte) bool {
	switch string(name) {
	case "concurrent", "inflight", "depth", "queue":
		return true
	}
	return false
}

// outcomeOf returns the outcome of an attempt, from the status of the node's response and its
// headerNodeRejected flag. Without the flag, the node may have executed the attempt before the error.
func outcomeOf(status int, nodeRejected bool) scheduler.Outcome {
	switch status {
	case 200:
		return scheduler.OK
	case 503, 504:
		if nodeRejected {
			return scheduler.QueueFull
		}
	}
	return scheduler.Failed
}
