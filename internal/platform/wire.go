package platform

import "maddergap/scheduler"

// The platform has words of its own. They stay on the wire, in its configuration and in its
// environment, and are mapped to the terms of this module here and in packages discovery (the
// node list) and settings (the settings object):
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
//	X-Remaining           time remaining of a client, timeout of an attempt
//	X-Resent              client retry
//	X-Pressure            load report of a node
//	X-Turned-Away         rejected by the node, without having run
//	known (configuration) initial node list

// Environment variables that the platform sets.
const (
	EnvConfig    = "ROUTER_CONFIG"    // path of the configuration file
	EnvName      = "ROUTER_NAME"      // the instance's name, where the file has none
	EnvListen    = "ROUTER_LISTEN"    // host:port to listen on, where the file has none
	EnvDiscovery = "ROUTER_DISCOVERY" // host:port of discovery, where the file has none
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

// headerIsSet is the value of a header field that is a flag.
const headerIsSet = "1"

// Members of headerIOInfo.
const (
	ioInfoVolume    = "volume"
	ioInfoUnits     = "units"
	ioInfoShard     = "shard"
	ioInfoInstances = "hosts"
	newObjectShard  = "-1" // the shard of an object that no node holds yet
)

// Paths that the gateway itself responds to.
const (
	pathReserved = "/-/" // prefix of them all
	pathReady    = "/-/ready"
	pathHealthy  = "/-/healthy"
)

// isLoadMember reports whether a member of a load report is a number of requests that the node
// holds or has waiting: by the names that settings may give and by those of the protocol.
func isLoadMember(name []byte) bool {
	switch string(name) {
	case "concurrent", "inflight", "depth", "queue":
		return true
	}
	return false
}

// outcomeOf maps the status of a node's response to the attempt's outcome. A node that rejected
// an attempt says so: without that, an error may have come after the attempt ran.
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
