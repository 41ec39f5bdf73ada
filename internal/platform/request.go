package platform

import (
	"bytes"

	"maddergap/internal/gateway"
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// maxBodyBytes is the maximum size of a request's body.
const maxBodyBytes = 64 << 10

// ParseRequest parses the header of a request. The result has a Status if the gateway itself responds:
// to a health check, or to a request that does not conform to the protocol.
func (p *Protocol) ParseRequest(r *http1.Request) gateway.RequestInfo {
	if bytes.HasPrefix(r.Target, []byte(reservedPathPrefix)) {
		return p.healthCheck(r.Target)
	}
	var headers requestHeaders
	if reason := headers.read(r); reason != "" {
		return protocolViolation(reason)
	}
	info, reason := p.parseHeaders(&headers)
	if reason != "" {
		return protocolViolation(reason)
	}
	if rejection, ok := p.checkMethod(r, info.Arrival.Class); !ok {
		return rejection
	}
	info.Arrival.ClientRetry = string(r.Get(headerClientRetry)) == flagHeaderValue
	return info
}

// protocolViolation returns the gateway's response to a request that does not conform to the protocol. It
// closes the connection, since client and gateway may disagree about where the next request begins.
func protocolViolation(reason string) gateway.RequestInfo {
	return gateway.RequestInfo{Status: 400, Reason: reason, Close: true}
}

// healthCheck returns the gateway's response to a request for a reserved path.
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

// requestHeaders holds the values of the protocol's header fields in a request, nil for a missing field.
type requestHeaders struct {
	id, class, plan, key, timeRemaining, ioInfo []byte
}

// read sets the values from the fields of a request. If the request is invalid, for instance because
// one of the fields occurs twice, it returns the reason, otherwise "".
func (h *requestHeaders) read(r *http1.Request) (reason string) {
	// A field that Connection lists is not forwarded. Without this check, a request could reach its
	// node without a field that the gateway used to select the node.
	for name := range http1.ListElements(r.Get("connection")) {
		if r.Get(string(name)) != nil && !http1.IsHopByHop(name, nil) {
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

// parseHeaders converts the values of the header fields. If one is invalid, it returns the reason,
// otherwise "".
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

// checkMethod checks that a request is either a read, which is a GET without a body, or a write, which
// is a PUT, and that its class is for such requests. If not, ok is false and rejection is the gateway's
// response.
func (p *Protocol) checkMethod(r *http1.Request, class int) (rejection gateway.RequestInfo, ok bool) {
	isWrite := string(r.Method) == "PUT"
	isRead := string(r.Method) == "GET"
	switch {
	case !isWrite && !isRead:
		return gateway.RequestInfo{Status: 405, Reason: "a read is a GET, a write a PUT", Close: true}, false
	case isRead && (r.ContentLength > 0 || r.Chunked):
		return protocolViolation("a read has no body"), false
	case len(p.classWrites) > 0 && p.classWrites[class] != isWrite:
		return protocolViolation("the method does not fit the class"), false
	}
	return gateway.RequestInfo{}, true
}
