package webdav

import (
	"errors"
	"strings"

	"maddergap/internal/route"
)

// Handling is the way in which the gateway handles a request.
type Handling int

// Ways to handle a request.
const (
	Forward       Handling = iota // forward it to the node of its location
	Options                       // respond with the supported methods
	ListRoot                      // respond with the list of volumes
	MergeListings                 // request a listing from each shard of the volume and merge them
	Respond                       // respond with Status and Reason of the Decision
)

// Decision is the result of Decide.
type Decision struct {
	Handling Handling
	Status   int    // status of the response; set for Respond only
	Reason   string // text of the response; set for Respond only
}

// respond returns the decision to respond with a status and a text.
func respond(status int, reason string) Decision {
	return Decision{Handling: Respond, Status: status, Reason: reason}
}

// Decide decides how a request is handled, by its method, its location and its fields: depth is the value
// of the Depth field, destination that of Destination. host is the authority of the request.
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
	if location.Kind != route.PlacementUnit {
		return decideRootOrVolume(method, location, depth)
	}
	if method == "COPY" || method == "MOVE" {
		return decideCopyOrMove(t, location, destination, host)
	}
	return Decision{Handling: Forward}
}

// decideRootOrVolume decides on a request for the root or a volume, neither of which is on a single node.
func decideRootOrVolume(method string, location route.Location, depth string) Decision {
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
		return respond(405, "volumes are made by configuration") // RFC 4918 9.3.1: the collection exists
	}
	return respond(403, "volumes are changed by configuration alone")
}

// decideCopyOrMove decides on a COPY or MOVE. Source and destination must be in the same placement unit
// and thus on the same node. Otherwise the node of the source would write the copy to its own storage,
// where requests for the destination, which go to another node, do not find it.
func decideCopyOrMove(t *route.Table, source route.Location, destination, host string) Decision {
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
	case target.Kind != route.PlacementUnit:
		return respond(403, "Destination is a volume or the list of volumes")
	case target.Volume != source.Volume || target.PlacementUnit != source.PlacementUnit: // RFC 4918 9.8.5, 9.9.4
		return respond(502, "Destination lies in another placement unit (volume and first segment below it); copy the content instead")
	}
	return Decision{Handling: Forward}
}
