package route

import (
	"math"
	"slices"
	"strings"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/http1"
)

// RequestHeader contains the parts of a request's header that Classify uses.
type RequestHeader struct {
	Method         string
	Location       Location
	ContentLength  int64  // length of the body in bytes, -1 if unknown
	Range          string // value of the Range field, "" if missing
	Prefer         string // value of the Prefer field, "" if missing
	IdempotencyKey string // value of the Idempotency-Key field, "" if missing
}

// Classification contains the properties of a request that the scheduler uses.
type Classification struct {
	Class       int           // index of the class in the configuration
	Units       float64       // cost in units of work, at least 1
	Timeout     time.Duration // time until the client gives up, less the response margin
	OrderingKey string        // requests with the same key run in order; "" if the class is not ordered
}

// unknownSize is the value of a size that is not known.
const unknownSize = -1

// Classify determines the class, cost, timeout and ordering key of a request.
func (t *Table) Classify(r RequestHeader) Classification {
	size := t.expectedSize(r)
	class := t.selectClass(r, size)
	return Classification{
		Class:       class,
		Units:       t.units(size),
		Timeout:     t.timeout(r, class, size),
		OrderingKey: t.orderingKey(r, class),
	}
}

// isRead reports whether the request is a read. The size of a read is that of its response, the size of
// any other request that of its body.
func (r *RequestHeader) isRead() bool {
	return r.Method == "GET" || r.Method == "HEAD" || r.Method == "PROPFIND"
}

// expectedSize returns the number of bytes that a request transfers in its body or, for a read, in its
// response, or unknownSize. The size of a response is estimated from the requested range and from earlier
// responses; it is unknownSize if there is neither.
func (t *Table) expectedSize(r RequestHeader) int64 {
	switch {
	case r.Method == "HEAD":
		return 0
	case !r.isRead():
		return r.ContentLength
	}
	size := rangeLength(r.Range)
	if known, ok := t.sizes.get(r.Location.Path); ok && (size < 0 || known < size) {
		size = known
	}
	return size
}

// selectClass returns the class of the first route that matches.
func (t *Table) selectClass(r RequestHeader, size int64) int {
	for i := range t.config.Routes {
		if matches(&t.config.Routes[i], r, size) {
			return t.config.Routes[i].Class
		}
	}
	return 0 // unreachable: the last route of a checked configuration matches every request
}

// matches reports whether a request of the given size matches a route. An unknown size is not above any
// limit.
func matches(rule *config.Route, r RequestHeader, size int64) bool {
	switch {
	case len(rule.Methods) > 0 && !slices.Contains(rule.Methods, r.Method):
		return false
	case !strings.HasPrefix(r.Location.Path, rule.Prefix):
		return false
	case rule.Ranged && r.Range == "":
		return false
	}
	return rule.SizeAbove < 0 || size > rule.SizeAbove
}

// units returns the cost of a request of the given size, or the configured mean if the size is unknown.
func (t *Table) units(size int64) float64 {
	if size < 0 {
		return max(1, t.config.Scheduler.MeanUnits)
	}
	return max(1, math.Ceil(float64(size)/float64(t.config.UnitBytes)))
}

// timeout returns the deadline of the class, or the wait that the client prefers if that is shorter, less
// the response margin. For a body larger than the buffer, the expected upload time is added, since the
// client itself spends that time. For a body of unknown length, Timeouts.NoProgress is added.
func (t *Table) timeout(r RequestHeader, class int, size int64) time.Duration {
	deadlines := &t.config.Deadlines
	timeout := deadlines.ByClass[class]
	if wait := preferredWait(r.Prefer); wait > 0 && wait < timeout {
		timeout = wait
	}
	timeout = max(timeout-deadlines.ResponseMargin, 0)
	switch {
	case r.isRead():
	case size > int64(t.config.Limits.BodyBuffer):
		uploadSeconds := float64(size) / float64(deadlines.UploadRate)
		timeout += time.Duration(uploadSeconds * float64(time.Second))
	case size < 0:
		timeout += t.config.Timeouts.NoProgress
	}
	return timeout
}

// orderingKey returns the client's idempotency key or, if there is none, the path. It returns "" for a
// class that is not ordered.
func (t *Table) orderingKey(r RequestHeader, class int) string {
	switch {
	case !t.config.Scheduler.Classes[class].Ordered:
		return ""
	case r.IdempotencyKey != "":
		return r.IdempotencyKey
	}
	return r.Location.Path
}

// rangeLength returns the number of bytes that a Range field requests. It returns unknownSize unless the
// field has a single range, which gives either the first and the last byte or the length of a suffix.
func rangeLength(value string) int64 {
	spec, ok := strings.CutPrefix(value, "bytes=")
	if !ok || strings.IndexByte(spec, ',') >= 0 {
		return unknownSize
	}
	from, to, _ := strings.Cut(spec, "-")
	first, hasFirst := http1.ParseDecimal([]byte(from))
	last, hasLast := http1.ParseDecimal([]byte(to))
	switch {
	case hasFirst && hasLast && first <= last:
		return last - first + 1
	case from == "" && hasLast:
		return last
	}
	return unknownSize
}

// preferredWait returns the time in a Prefer field with wait=SECONDS (RFC 7240 4.3), or 0 if there is
// none.
func preferredWait(prefer string) time.Duration {
	for preference := range strings.SplitSeq(prefer, ",") {
		preference, _, _ = strings.Cut(preference, ";")
		name, value, ok := strings.Cut(strings.TrimSpace(preference), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "wait") {
			continue
		}
		seconds, ok := http1.ParseDecimal([]byte(strings.Trim(strings.TrimSpace(value), `"`)))
		if ok && seconds <= math.MaxInt32 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
