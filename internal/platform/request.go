package platform

import (
	"bytes"

	"maddergap/internal/gateway"
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 10

// ParseRequest reads the header of a request. The result has a status where the gateway itself
// responds: to a health check, or to a request that is not of the protocol.
func (p *Protocol) ParseRequest(r *http1.Request) gateway.RequestInfo {
	if bytes.HasPrefix(r.Target, []byte(pathReserved)) {
		return p.healthCheck(r.Target)
	}
	var headers requestHeaders
	if reason := headers.read(r); reason != "" {
		return badRequest(reason)
	}
	info, reason := p.parseHeaders(&headers)
	if reason != "" {
		return badRequest(reason)
	}
	if rejection, ok := p.checkMethod(r, info.Arrival.Class); !ok {
		return rejection
	}
	info.Arrival.ClientRetry = string(r.Get(headerClientRetry)) == headerIsSet
	return info
}

// badRequest is the gateway's response to a request that is not of the protocol. What follows on
// its connection is not read: client and gateway may disagree about where it begins.
func badRequest(reason string) gateway.RequestInfo {
	return gateway.RequestInfo{Status: 400, Reason: reason, Close: true}
}

// healthCheck is the gateway's response to a reserved path.
func (p *Protocol) healthCheck(target []byte) gateway.RequestInfo {
	path, _, _ := bytes.Cut(target, []byte("?"))
	switch string(path) {
	case pathReady:
		if p.Ready != nil && !p.Ready() {
			return gateway.RequestInfo{Status: 503, Reason: "not ready"}
		}
		return gateway.RequestInfo{Status: 200, Reason: "ready"}
	case pathHealthy:
		return gateway.RequestInfo{Status: 200, Reason: "alive"}
	}
	return gateway.RequestInfo{Status: 404, Reason: "there is no such page"}
}

// requestHeaders are the values of a request's header fields, nil where absent.
type requestHeaders struct {
	id, class, plan, key, timeRemaining, ioInfo []byte
}

// read finds the values, each of which may be there once at most. It returns the reason for a bad
// request, "" for none.
func (h *requestHeaders) read(r *http1.Request) (reason string) {
	// A field that Connection lists is not forwarded. The failure guarded against is a request
	// that reaches its node without a field by which the gateway chose the node.
	for name := range http1.ListElements(r.Get("connection")) {
		if r.Get(string(name)) != nil && !http1.HopByHop(name, nil) {
			return "Connection lists a field of the request"
		}
	}
	wanted := [...]struct {
		name  string
		value *[]byte
	}{
		{headerRequestID, &h.id},
		{headerClass, &h.class},
		{headerPlan, &h.plan},
		{headerKey, &h.key},
		{headerTimeRemaining, &h.timeRemaining},
		{headerIOInfo, &h.ioInfo},
	}
	for i := range r.Fields {
		field := &r.Fields[i]
		for _, want := range wanted {
			if !http1.EqualFold(field.Name, want.name) {
				continue
			}
			if *want.value != nil {
				return want.name + " stands twice"
			}
			*want.value = field.Value
		}
	}
	return ""
}

// parseHeaders converts the values. It returns the reason for a bad request, "" for none.
func (p *Protocol) parseHeaders(h *requestHeaders) (info gateway.RequestInfo, reason string) {
	if !isID(h.id) {
		return info, "want " + headerRequestID + ", the request's id"
	}
	class, ok := p.classes[string(h.class)]
	if !ok {
		return info, headerClass + " names no class"
	}
	plan, ok := p.plans[string(h.plan)]
	if !ok {
		return info, headerPlan + " names no plan"
	}
	if !isHexKey(h.key) {
		return info, "want " + headerKey + ", 16 hex digits"
	}
	timeRemaining, ok := parseTimeRemaining(h.timeRemaining)
	if !ok {
		return info, "want " + headerTimeRemaining + ", a number above 0 and its unit"
	}
	io, ok := parseIOInfo(h.ioInfo, p.limits)
	if !ok {
		return info, "want " + headerIOInfo + " with volume, units, shard and hosts"
	}
	info.ID = string(h.id)
	info.Arrival = scheduler.Arrival{
		Class:         class,
		Plan:          plan,
		Key:           string(h.key),
		TimeRemaining: timeRemaining,
		Volume:        io.volume,
		Units:         io.units,
		Shard:         io.shard,
		Instances:     io.instances,
	}
	return info, ""
}

// checkMethod checks that a read is a GET without a body, a write a PUT, and that the class is one
// of such requests. Where they are not, it returns the gateway's response.
func (p *Protocol) checkMethod(r *http1.Request, class int) (rejection gateway.RequestInfo, ok bool) {
	isWrite := string(r.Method) == "PUT"
	isRead := string(r.Method) == "GET"
	switch {
	case !isWrite && !isRead:
		return gateway.RequestInfo{Status: 405, Reason: "a read is a GET, a write a PUT", Close: true}, false
	case isRead && (r.ContentLength > 0 || r.Chunked):
		return badRequest("a read has no body"), false
	case len(p.classWrites) > 0 && p.classWrites[class] != isWrite:
		return badRequest("the method does not fit the class"), false
	}
	return gateway.RequestInfo{}, true
}
