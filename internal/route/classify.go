package route

import (
	"math"
	"slices"
	"strings"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/http1"
)

// RequestHeader is what Classify looks at in a request's header.
type RequestHeader struct {
	Method         string
	Location       Location
	ContentLength  int64  // of the body in bytes, -1 if it is not known
	Range          string // value of Range, "" for none
	Prefer         string // value of Prefer, "" for none
	IdempotencyKey string // value of Idempotency-Key, "" for none
}

// Classification is what the scheduler needs to know of a request.
type Classification struct {
	Class       int           // index of the configuration's classes
	Units       float64       // of work, 1 at least
	Timeout     time.Duration // until the client gives up, less the response margin
	OrderingKey string        // requests with the same key run in order; "" for a class without order
}

// unknownSize stands for a size that is not known.
const unknownSize = -1

// Classify classifies a request.
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

// reads tells whether a request has no body of its own, and its response has the size.
func (r *RequestHeader) reads() bool {
	return r.Method == "GET" || r.Method == "HEAD" || r.Method == "PROPFIND"
}

// expectedSize is how many bytes a request transfers: those of its body, or of its response
// as far as the range or an earlier response tells; unknownSize otherwise.
func (t *Table) expectedSize(r RequestHeader) int64 {
	switch {
	case r.Method == "HEAD":
		return 0
	case !r.reads():
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
	return 0 // not reached: a checked configuration's last route matches every request
}

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

// units is the work of a request of the size; the configured mean if it is not known.
func (t *Table) units(size int64) float64 {
	if size < 0 {
		return max(1, t.config.Scheduler.MeanUnits)
	}
	return max(1, math.Ceil(float64(size)/float64(t.config.UnitBytes)))
}

// timeout is the class's deadline, or the client's shorter wait, less the response margin.
// A body that is longer than the buffer extends it by its upload time, as the client itself
// takes that; one of unknown length by the time for which a client may stall.
func (t *Table) timeout(r RequestHeader, class int, size int64) time.Duration {
	deadlines := &t.config.Deadlines
	timeout := deadlines.ByClass[class]
	if wait := preferredWait(r.Prefer); wait > 0 && wait < timeout {
		timeout = wait
	}
	timeout = max(timeout-deadlines.ResponseMargin, 0)
	switch {
	case r.reads():
	case size > int64(t.config.Limits.BodyBuffer):
		uploadSeconds := float64(size) / float64(deadlines.UploadRate)
		timeout += time.Duration(uploadSeconds * float64(time.Second))
	case size < 0:
		timeout += t.config.Timeouts.NoProgress
	}
	return timeout
}

// orderingKey is the client's key, or the path, for a class whose requests are ordered.
func (t *Table) orderingKey(r RequestHeader, class int) string {
	switch {
	case !t.config.Scheduler.Classes[class].Ordered:
		return ""
	case r.IdempotencyKey != "":
		return r.IdempotencyKey
	}
	return r.Location.Path
}

// rangeLength is the number of bytes of a Range field with a single range: of a first and a
// last byte, or of a suffix; unknownSize for any other.
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

// preferredWait is N seconds of Prefer: wait=N (RFC 7240 4.3), 0 for none.
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
