// Package platform is the protocol of the platform that heads are put in service on:
// what its clients ask, what its storage nodes are sent and answer, the configuration
// it gives a head, and the bounds that follow from its limits. It reads nothing by itself
// but in Load.
package platform

import (
	"bytes"
	"cmp"
	"strconv"
	"time"

	"maddergap/internal/gateway"
	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// The platform's fields.
const (
	fieldID      = "X-Txn"
	fieldClass   = "X-Lane"
	fieldPlan    = "Tier"
	fieldKey     = "Piece"
	fieldLeft    = "X-Remaining"
	fieldRetry   = "X-Resent"
	fieldExtras  = "IO-Info"
	fieldLoad    = "X-Pressure"
	fieldTurned  = "X-Turned-Away"
	pathReady    = "/-/ready"
	pathHealthy  = "/-/healthy"
	pathReserved = "/-/"
)

const (
	mostBody   = 64 << 10
	mostID     = 64
	mostLeft   = time.Hour
	mostShards = 1 << 20
	endedKept  = 8192 // ids remembered after their end
)

// Protocol reads and writes the platform's messages.
type Protocol struct {
	classes map[string]int
	plans   map[string]int
	writes  []bool // by class; none: not told
	most    float64
	shards  int
	heads   int
	stall   time.Duration
	answer  int64
	answers int64
	ids     *ids
	Ready   func() bool
}

var errOpen = &http1.Error{Status: 409, Reason: "the id is that of a request that is open, or that was answered"}

// BeginRequest takes a request's id.
func (p *Protocol) BeginRequest(a *gateway.RequestInfo) *http1.Error {
	if !p.ids.take(a.ID) {
		return errOpen
	}
	return nil
}

// EndRequest lets go of it.
func (p *Protocol) EndRequest(id string, o gateway.Outcome) { p.ids.end(id, o) }

// MaxResponseBytes is how large an answer may be, and all that are held at once.
func (p *Protocol) MaxResponseBytes() (one, all int64) { return p.answer, p.answers }

// ResponseStallTimeout is for how long an answer that has begun may stand still.
func (p *Protocol) ResponseStallTimeout() time.Duration { return p.stall }

func bad(reason string) gateway.RequestInfo {
	return gateway.RequestInfo{Status: 400, Reason: reason, Close: true}
}

// ParseRequest reads a request.
func (p *Protocol) ParseRequest(r *http1.Request) gateway.RequestInfo {
	if bytes.HasPrefix(r.Target, []byte(pathReserved)) {
		switch path, _, _ := bytes.Cut(r.Target, []byte("?")); string(path) {
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
	// Guards against a request that would reach its node without a field it was read by.
	for name := range http1.ListElements(r.Get("connection")) {
		if r.Get(string(name)) != nil && !http1.HopByHop(name, nil) {
			return bad("Connection lists a field of the request")
		}
	}
	var id, class, plan, key, left, extras []byte
	once := [...]struct {
		name string
		to   *[]byte
	}{{fieldID, &id}, {fieldClass, &class}, {fieldPlan, &plan}, {fieldKey, &key}, {fieldLeft, &left}, {fieldExtras, &extras}}
	for i := range r.Fields {
		f := &r.Fields[i]
		for _, want := range once {
			if http1.EqualFold(f.Name, want.name) {
				if *want.to != nil {
					return bad(want.name + " stands twice")
				}
				*want.to = f.Value
			}
		}
	}
	if !word(id, mostID) {
		return bad("want " + fieldID + ", the request's id")
	}
	c, ok := p.classes[string(class)]
	if !ok {
		return bad(fieldClass + " names no class")
	}
	g, ok := p.plans[string(plan)]
	if !ok {
		return bad(fieldPlan + " names no plan")
	}
	if !hex16(key) {
		return bad("want " + fieldKey + ", 16 hex digits")
	}
	a := gateway.RequestInfo{Arrival: scheduler.Arrival{Class: c, Plan: g}}
	if a.Arrival.TimeRemaining, ok = remaining(left); !ok {
		return bad("want " + fieldLeft + ", a number above 0 and its unit")
	}
	if !p.extras(extras, &a.Arrival) {
		return bad("want " + fieldExtras + " with volume, units, shard and hosts")
	}
	write := string(r.Method) == "PUT"
	switch {
	case !write && string(r.Method) != "GET":
		return gateway.RequestInfo{Status: 405, Reason: "a read is a GET, a write a PUT", Close: true}
	case !write && (r.ContentLength > 0 || r.Chunked):
		return bad("a read has no body")
	case len(p.writes) > 0 && p.writes[c] != write:
		return bad("the method does not fit the class")
	}
	a.ID, a.Arrival.Key, a.Arrival.ClientRetry = string(id), string(key), string(r.Get(fieldRetry)) == "1"
	return a
}

// word tells whether b is an id: letters, digits and dashes alone.
func word(b []byte, most int) bool {
	for _, c := range b {
		if !('0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'z' || c == '-' || c == '_') {
			return false
		}
	}
	return len(b) > 0 && len(b) <= most
}

func hex16(b []byte) bool {
	for _, c := range b {
		if !('0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'f') {
			return false
		}
	}
	return len(b) == 16
}

// number reads a plain decimal of at most 18 bytes: digits, and a fraction if any.
func number(b []byte) (x float64, ok bool) {
	if len(b) == 0 || len(b) > 18 || b[0] == '.' || b[len(b)-1] == '.' {
		return 0, false
	}
	for i, c := range b {
		if (c < '0' || c > '9') && (c != '.' || bytes.IndexByte(b[:i], '.') >= 0) {
			return 0, false
		}
	}
	x, err := strconv.ParseFloat(string(b), 64)
	return x, err == nil
}

// remaining reads a time: a number, and m for milliseconds or u for microseconds.
func remaining(b []byte) (time.Duration, bool) {
	if len(b) < 2 {
		return 0, false
	}
	x, ok := number(b[:len(b)-1])
	switch b[len(b)-1] {
	case 'm':
		x *= float64(time.Millisecond)
	case 'u':
		x *= float64(time.Microsecond)
	default:
		return 0, false
	}
	return time.Duration(x), ok && x >= 1 && x <= float64(mostLeft)
}

// extras reads volume, units, shard and hosts, each once.
func (p *Protocol) extras(b []byte, a *scheduler.Arrival) bool {
	var seen [4]bool
	for part := range http1.ListElements(b) {
		name, value, ok := bytes.Cut(part, []byte("="))
		if !ok {
			return false
		}
		i := -1
		switch string(name) {
		case "volume":
			i, ok = 0, hex16(value)
			a.Volume = string(value)
		case "units":
			i = 1
			a.Units, ok = number(value)
			ok = ok && a.Units > 0 && a.Units <= p.most
		case "shard":
			i = 2
			if string(value) == "-1" {
				a.Shard = -1
				break
			}
			var n int64
			n, ok = http1.ParseDecimal(value)
			ok = ok && n < int64(cmp.Or(p.shards, mostShards)) // 0: not told
			a.Shard = int(n)
		case "hosts":
			i = 3
			var n int64
			n, ok = http1.ParseDecimal(value)
			ok = ok && n >= 1 && n <= int64(p.heads)
			a.Instances = int(n)
		default: // of a later day
			continue
		}
		if !ok || seen[i] {
			return false
		}
		seen[i] = true
	}
	return seen == [4]bool{true, true, true, true}
}

// AppendRequest writes an attempt: all that its client sent that is not of its connection
// alone, with the time that is left. What a node reads of it, as the key that it drops
// repeats by, is not for the head to know.
func (p *Protocol) AppendRequest(b []byte, r *http1.Request, left time.Duration) []byte {
	b = append(append(b, r.Method...), ' ')
	b = append(append(b, r.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, r.Host...), "\r\n"...)
	b = http1.AppendEndToEndFields(b, &r.Message, "host", "expect", fieldLeft)
	b = append(b, fieldLeft+": "...)
	b = strconv.AppendInt(b, left.Microseconds(), 10)
	return append(b, "u\r\n"...)
}

// ParseResponse reads the header of a node's answer.
func (p *Protocol) ParseResponse(r *http1.Response) gateway.ResponseInfo {
	v := gateway.ResponseInfo{Outcome: scheduler.Failed}
	v.ReportedLoad, v.HasLoadReport = load(r.Get(fieldLoad))
	switch r.Status {
	case 200:
		v.Outcome = scheduler.OK
	case 503, 504:
		if string(r.Get(fieldTurned)) == "1" {
			v.Outcome = scheduler.QueueFull
		}
	}
	return v
}

// load reads a load report: the greater of the requests held and those that wait. One
// that cannot be read is as none.
func load(b []byte) (most float64, ok bool) {
	for part := range http1.ListElements(b) {
		name, value, _ := bytes.Cut(part, []byte("="))
		switch string(name) {
		case "concurrent", "inflight", "depth", "queue": // by the settings, and in the protocol's own words
			x, err := strconv.ParseFloat(string(value), 64)
			if err != nil || !(x >= 0 && x < 1e6) {
				return 0, false
			}
			most, ok = max(most, x), true
		}
	}
	return most, ok
}

// AppendRetryAfter writes a pause in decimal seconds, which the platform's clients read.
func (p *Protocol) AppendRetryAfter(b []byte, after time.Duration) []byte {
	if after <= 0 {
		return b
	}
	b = append(b, "Retry-After: "...)
	b = strconv.AppendFloat(b, after.Seconds(), 'f', 3, 64)
	return append(b, "\r\n"...)
}
