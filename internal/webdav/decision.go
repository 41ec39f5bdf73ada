package webdav

import (
	"errors"
	"strings"

	"maddergap/internal/route"
)

// Handling is how a request is dealt with.
type Handling int

// Ways to deal with a request.
const (
	Forward       Handling = iota // forward it to the node of its location
	Options                       // respond with the supported methods
	ListRoot                      // respond with the list of volumes
	MergeListings                 // request a listing from each shard of the volume and merge them
	Respond                       // respond with Decision's Status and Reason
)

// Decision is how a request is dealt with.
type Decision struct {
	Handling Handling
	Status   int    // for Respond
	Reason   string // for Respond: the text of the response
}

func respond(status int, reason string) Decision {
	return Decision{Handling: Respond, Status: status, Reason: reason}
}

// Decide decides by the method, the location and the fields that matter: destination is the
// value of Destination, depth that of Depth. host is the request's own authority.
func Decide(t *route.Table, method string, location route.Location, depth, destination, host string) Decision {
	switch method {
	case "OPTIONS":
		return Decision{Handling: Options}
	case "GET", "HEAD", "PUT", "DELETE", "MKCOL", "COPY", "MOVE", "PROPFIND", "PROPPATCH", "LOCK", "UNLOCK":
	case "POST":
		return respond(405, "POST has no meaning on stored data")
	default:
		return respond(501, "the method is not known here")
	}
	if location.Kind != route.Unit {
		return decideAboveUnits(method, location, depth)
	}
	if method == "COPY" || method == "MOVE" {
		return decideDestination(t, location, destination, host)
	}
	return Decision{Handling: Forward}
}

// decideAboveUnits decides about the root and the volumes, which are on no single node.
func decideAboveUnits(method string, location route.Location, depth string) Decision {
	switch method {
	case "GET", "HEAD":
		return respond(405, "a collection has no content of its own; list it with PROPFIND")
	case "PROPFIND":
		if d := strings.ToLower(depth); d != "0" && d != "1" {
			return respond(403, "propfind-finite-depth: ask for Depth 0 or 1 here") // RFC 4918 9.1
		}
		if location.Kind == route.Root {
			return Decision{Handling: ListRoot}
		}
		return Decision{Handling: MergeListings}
	case "MKCOL", "PUT":
		return respond(405, "volumes are made by configuration") // RFC 4918 9.3.1: it exists
	}
	return respond(403, "volumes are changed by configuration alone")
}

// decideDestination decides about COPY and MOVE: both ends must be in one placement unit, and
// so on one node. Guards against a copy that a node would make for itself in a place where no
// request looks for it.
func decideDestination(t *route.Table, source route.Location, destination, host string) Decision {
	if destination == "" {
		return respond(400, "Destination is missing")
	}
	path, authority, err := route.SplitTarget(destination)
	if err != nil {
		return respond(400, "Destination: "+err.Error())
	}
	if authority != "" && !strings.EqualFold(authority, host) {
		return respond(502, "Destination is on another server")
	}
	target, err := t.Locate(path)
	switch {
	case errors.Is(err, route.ErrUnknownVolume):
		return respond(409, "Destination: "+err.Error())
	case err != nil:
		return respond(400, "Destination: "+err.Error())
	case target.Kind != route.Unit:
		return respond(403, "Destination is a volume or the list of volumes")
	case target.Volume != source.Volume || target.Unit != source.Unit: // RFC 4918 9.8.5, 9.9.4
		return respond(502, "Destination lies in another placement unit (volume and first segment below it); copy the content instead")
	}
	return Decision{Handling: Forward}
}
