// Package route tells what a request is before the module decides about it:
// where its path lives, its class, units, time and key. It is pure: the same
// request and the same history of answers give the same result.
package route

import (
	"errors"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"maddergap/internal/config"
	"maddergap/internal/http1"
)

// Kind is what a path names.
type Kind int

// Kinds of places.
const (
	Root       Kind = iota // "/", the list of volumes
	VolumeRoot             // "/volume/", spread over all its shards
	Unit                   // a placement unit or something below it, on one shard
)

// Location is where a path lives.
type Location struct {
	Kind   Kind
	Volume int    // place among the configuration's volumes
	Unit   string // the placement unit's name, decoded
	Shard  int
	Path   string // decoded
}

// Errors of paths.
var (
	ErrMalformedPath = errors.New("the path is malformed: a bad escape, an empty or a dot segment, an escaped slash or a control character")
	ErrUnknownVolume = errors.New("there is no such volume")
	ErrTargetForm    = errors.New("the target is neither a path nor an http URL")
)

// Table answers for one configuration. It is not safe for concurrent use.
type Table struct {
	c       *config.Config
	volumes map[string]int
	sizes   *sizes
}

// NewTable builds the table of a checked configuration. A table made for a new
// configuration keeps what the old one learnt of sizes.
func NewTable(c *config.Config, old *Table) *Table {
	t := &Table{c: c, volumes: map[string]int{}}
	for i, v := range c.Volumes {
		t.volumes[v.Name] = i
	}
	if old != nil && len(old.sizes.entries) == c.Limits.SizeEntries {
		t.sizes = old.sizes
	} else {
		t.sizes = newSizes(c.Limits.SizeEntries)
	}
	return t
}

// SplitTarget cuts the path out of a request target in origin or absolute form (RFC
// 9112 3.2); the query is dropped, as nothing here has one. authority is empty
// for origin form.
func SplitTarget(target string) (path, authority string, err error) {
	if !strings.HasPrefix(target, "/") {
		rest, ok := cutScheme(target)
		if !ok {
			return "", "", ErrTargetForm
		}
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			rest, i = rest+"/", len(rest)
		}
		authority, target = rest[:i], rest[i:]
		if authority == "" {
			return "", "", ErrTargetForm
		}
	}
	if i := strings.IndexByte(target, '?'); i >= 0 {
		target = target[:i]
	}
	return target, authority, nil
}

func cutScheme(s string) (string, bool) {
	for _, scheme := range [...]string{"http://", "https://"} {
		if len(s) > len(scheme) && strings.EqualFold(s[:len(scheme)], scheme) {
			return s[len(scheme):], true
		}
	}
	return "", false
}

// DecodePath undoes percent escapes and holds that the path can be read in one way
// only. Guards against two names for one resource, which would be two places.
func DecodePath(path string) (string, error) {
	if strings.IndexByte(path, '%') >= 0 {
		b := make([]byte, 0, len(path))
		for i := 0; i < len(path); i++ {
			c := path[i]
			if c == '%' {
				if i+2 >= len(path) {
					return "", ErrMalformedPath
				}
				hi, lo := unhex(path[i+1]), unhex(path[i+2])
				if hi < 0 || lo < 0 {
					return "", ErrMalformedPath
				}
				if c = byte(hi<<4 | lo); c == '/' || c == 0 {
					return "", ErrMalformedPath
				}
				i += 2
			}
			b = append(b, c)
		}
		path = string(b)
	}
	for i := 0; i < len(path); i++ {
		if path[i] < ' ' || path[i] == 0x7f || path[i] == '\\' {
			return "", ErrMalformedPath
		}
		if path[i] == '/' { // the segment that follows
			seg := path[i+1:]
			if j := strings.IndexByte(seg, '/'); j >= 0 {
				seg = seg[:j]
			} else if seg == "" {
				break
			}
			if seg == "" || seg == "." || seg == ".." {
				return "", ErrMalformedPath
			}
		}
	}
	return path, nil
}

func unhex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	}
	return -1
}

// Locate finds where a path (as SplitTarget gives it) lives.
func (t *Table) Locate(path string) (Location, error) {
	path, err := DecodePath(path)
	if err != nil {
		return Location{}, err
	}
	p := Location{Path: path}
	name, rest, below := strings.Cut(path[1:], "/")
	if name == "" {
		return p, nil
	}
	v, ok := t.volumes[name]
	if !ok {
		return p, ErrUnknownVolume
	}
	p.Kind, p.Volume = VolumeRoot, v
	if !below || rest == "" {
		return p, nil
	}
	p.Kind = Unit
	p.Unit, _, _ = strings.Cut(rest, "/")
	p.Shard = shardOf(p.Unit, t.c.Volumes[v].Shards)
	return p, nil
}

// shardOf is rendezvous hashing: the shard with the highest hash of unit and
// shard, so that a shard more or less moves only what is then on it.
func shardOf(unit string, shards []int) (best int) {
	h, top := xxhash.Sum64String(unit), uint64(0)
	for i, s := range shards {
		x := (h ^ uint64(s+1)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
		x ^= x >> 32
		x *= 0xc4ceb9fe1a85ec53
		if x ^= x >> 29; i == 0 || x > top {
			best, top = s, x
		}
	}
	return best
}

// RequestHeader is what a request's header tells.
type RequestHeader struct {
	Method         string
	Location       Location
	ContentLength  int64 // of the body, -1 where it is not told
	Range          string
	Prefer         string
	IdempotencyKey string // Idempotency-Key
}

// Classification is what the module is told of a request, and the head keeps to.
type Classification struct {
	Class       int
	Units       float64
	Timeout     time.Duration // before the client gives up; the answer margin is taken off
	OrderingKey string        // of order, "" where the class has none
}

// Classify classifies a request.
func (t *Table) Classify(a RequestHeader) Classification {
	size := a.ContentLength
	reads := a.Method == "GET" || a.Method == "HEAD" || a.Method == "PROPFIND"
	if a.Method == "HEAD" {
		size = 0
	} else if reads {
		size = rangeLength(a.Range)
		if known, ok := t.sizes.get(a.Location.Path); ok && (size < 0 || known < size) {
			size = known
		}
	}
	j := Classification{Class: t.class(a, size)}
	class := &t.c.Scheduler.Classes[j.Class]
	switch {
	case size >= 0:
		j.Units = max(1, math.Ceil(float64(size)/float64(t.c.UnitBytes)))
	default:
		j.Units = max(1, t.c.Scheduler.MeanUnits)
	}
	j.Timeout = t.c.Deadlines.ByClass[j.Class]
	if w := wait(a.Prefer); w > 0 && w < j.Timeout {
		j.Timeout = w
	}
	j.Timeout = max(j.Timeout-t.c.Deadlines.ResponseMargin, 0)
	if !reads && size > int64(t.c.Limits.BodyBuffer) { // a long body's own time is the client's
		j.Timeout += time.Duration(float64(size) / float64(t.c.Deadlines.UploadRate) * float64(time.Second))
	} else if !reads && size < 0 {
		j.Timeout += t.c.Timeouts.Stall
	}
	if class.Ordered {
		if j.OrderingKey = a.IdempotencyKey; j.OrderingKey == "" {
			j.OrderingKey = a.Location.Path
		}
	}
	return j
}

func (t *Table) class(a RequestHeader, size int64) int {
	for i := range t.c.Routes {
		r := &t.c.Routes[i]
		if len(r.Methods) > 0 {
			found := false
			for _, m := range r.Methods {
				found = found || m == a.Method
			}
			if !found {
				continue
			}
		}
		if (r.Prefix == "" || strings.HasPrefix(a.Location.Path, r.Prefix)) && (!r.Ranged || a.Range != "") &&
			(r.SizeAbove < 0 || size > r.SizeAbove) {
			return r.Class
		}
	}
	return 0 // never: the last route takes every request
}

// LearnSize tells the size that an answer showed a resource to have.
func (t *Table) LearnSize(path string, size int64) { t.sizes.put(path, size) }

// rangeLength returns the bytes of a single range with both ends, else -1.
func rangeLength(r string) int64 {
	r, ok := strings.CutPrefix(r, "bytes=")
	if !ok || strings.IndexByte(r, ',') >= 0 {
		return -1
	}
	from, to, _ := strings.Cut(r, "-")
	a, okA := http1.ParseDecimal([]byte(from))
	b, okB := http1.ParseDecimal([]byte(to))
	switch {
	case okA && okB && a <= b:
		return b - a + 1
	case from == "" && okB:
		return b
	}
	return -1
}

// wait reads Prefer: wait=N (RFC 7240 4.3), in seconds.
func wait(prefer string) time.Duration {
	for part := range strings.SplitSeq(prefer, ",") {
		part, _, _ = strings.Cut(part, ";")
		k, v, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(k), "wait") {
			continue
		}
		if n, ok := http1.ParseDecimal([]byte(strings.Trim(strings.TrimSpace(v), `"`))); ok && n < 1<<31 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// sizes is a table of a fixed number of entries, one for each hash; a path
// takes the place of another with the same. A size forgotten costs only a worse
// estimate of units.
type sizes struct{ entries []sizeEntry }

type sizeEntry struct {
	hash uint64
	size int64 // and 1, so that zero is empty
}

func newSizes(n int) *sizes { return &sizes{make([]sizeEntry, n)} }

func (s *sizes) get(path string) (int64, bool) {
	h := xxhash.Sum64String(path)
	e := s.entries[h%uint64(len(s.entries))]
	return e.size - 1, e.hash == h && e.size > 0
}

func (s *sizes) put(path string, size int64) {
	h := xxhash.Sum64String(path)
	s.entries[h%uint64(len(s.entries))] = sizeEntry{h, size + 1}
}
