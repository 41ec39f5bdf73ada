// Package simwire reads and writes the simulator's text wire. It holds the codec
// alone: no decision and no default.
package simwire

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"maddergap/internal/settings"
)

// Item is a line of the node list.
type Item struct {
	Shelf     string
	Zone      int
	Cluster   int
	Condition string
	Power     float64
	UpSince   int64
}

// Event is one event of a batch; only the fields that its kind has are set.
type Event struct {
	Kind, Head string
	Entropy    uint64
	Site       settings.Site
	How        string
	Items      []Item
	Job        uint64
	Cell, Plan int
	Key, User  string
	Grace      int64
	Weight     float64
	Writers    int
	Again      bool // a client's repeat
	Service    int
	N          int
	Shelf      string
	Took       int64
	Terminal   bool
	Elsewhere  float64
	Telemetry  map[string]float64
	Tag        string
	Neighbour  int
	Msg        []byte
}

// Batch is what one round brings.
type Batch struct {
	Clock  int64
	Number string
	Events []Event
}

// Reader reads batches and knows the number of the line it is at.
type Reader struct {
	r    *bufio.Reader
	line int
}

// NewReader reads the wire from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 1<<20)} }

func (r *Reader) next() (string, error) {
	s, err := r.r.ReadString('\n')
	if err == io.EOF && s != "" {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimRight(s, "\r\n"), nil
}

// Read returns the next batch, io.EOF at a clean end, or an error naming the line.
func (r *Reader) Read() (Batch, error) {
	var b Batch
	s, err := r.next()
	if err == io.EOF {
		return b, err
	}
	if err == nil {
		b, err = r.batch(s)
	}
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return b, fmt.Errorf("line %d: input ends inside a batch", r.line+1)
	}
	if err != nil {
		return b, fmt.Errorf("line %d: %w", r.line, err)
	}
	return b, nil
}

func (r *Reader) batch(first string) (b Batch, err error) {
	head := &fields{parts: strings.Split(first, " ")}
	if head.text() != "clock" {
		return b, fmt.Errorf("a batch starts with clock, got %.40q", first)
	}
	b.Clock, b.Number = head.int(), head.text()
	if err := head.done(); err != nil {
		return b, err
	}
	for {
		s, err := r.next()
		if err != nil {
			return b, err
		}
		if s == "over_to_you" {
			return b, nil
		}
		e, items, err := parseEvent(s)
		if err != nil {
			return b, err
		}
		for range items {
			s, err := r.next()
			if err != nil {
				return b, err
			}
			it, err := parseItem(s)
			if err != nil {
				return b, err
			}
			e.Items = append(e.Items, it)
		}
		b.Events = append(b.Events, e)
	}
}

func parseItem(s string) (it Item, err error) {
	f := &fields{parts: strings.Split(s, " ")}
	if f.text() != "item" {
		return it, fmt.Errorf("expected an item line, got %.40q", s)
	}
	it.Shelf, it.Zone = f.text(), int(f.int())
	f.int() // machine type
	it.Cluster, it.Condition, it.Power, it.UpSince = int(f.int()), f.text(), f.float(), f.int()
	return it, f.done()
}

// parseEvent reads an event line and tells how many item lines follow it.
func parseEvent(s string) (e Event, items int, err error) {
	f := &fields{parts: strings.Split(s, " ")}
	e.Kind, e.Head = f.text(), f.text()
	switch e.Kind {
	case "boot":
		e.Entropy = f.uint()
		if err := json.Unmarshal([]byte(f.rest()), &e.Site); err != nil && f.err == nil {
			return e, 0, fmt.Errorf("boot: facts: %w", err)
		}
	case "registry":
		e.How = f.text()
		f.int()
		items = int(f.int())
		if items < 0 {
			return e, 0, fmt.Errorf("registry: %d entries", items)
		}
	case "job_in":
		e.Job, e.Cell, e.Plan, e.Key = f.uint(), int(f.float()), int(f.int()), f.text()
		e.Again = f.int()&2 != 0
		e.User, e.Grace, e.Weight = f.text(), f.int(), f.float()
		e.Writers, e.Service = int(f.float()), int(f.int())
	case "health_result":
		e.Shelf, e.How, e.Took, e.Telemetry = f.text(), f.text(), f.int(), f.pairs()
	case "bell":
		e.Tag = f.text()
	case "ended":
		e.Job, e.N, e.Shelf, e.How = f.uint(), int(f.int()), f.text(), f.text()
		e.Took, e.Terminal = f.int(), f.int() != 0
		f.int() // metered
		e.Elsewhere, e.Telemetry = f.float(), f.pairs()
	case "peer_data":
		e.Neighbour = int(f.int())
		m := f.text()
		if e.Msg, err = base64.StdEncoding.DecodeString(m); err != nil && f.err == nil {
			return e, 0, fmt.Errorf("peer_data: msg: %w", err)
		}
	case "begun":
		e.Job, e.N, e.Shelf, e.Took = f.uint(), int(f.int()), f.text(), f.int()
	case "shutdown":
	case "dropped":
		e.Job = f.uint()
	default:
		return e, 0, fmt.Errorf("unknown message %.40q", e.Kind)
	}
	if err := f.done(); err != nil {
		return e, 0, fmt.Errorf("%s: %w", e.Kind, err)
	}
	return e, items, nil
}

// fields takes the parts of a line in turn and keeps the first fault.
type fields struct {
	parts []string
	at    int
	err   error
}

func (f *fields) text() string {
	if f.at >= len(f.parts) {
		if f.err == nil {
			f.err = fmt.Errorf("value %d is missing", f.at)
		}
		return ""
	}
	s := f.parts[f.at]
	f.at++
	if s == "-" {
		return ""
	}
	return s
}

func (f *fields) rest() string {
	s := strings.Join(f.parts[min(f.at, len(f.parts)):], " ")
	f.at = len(f.parts)
	return s
}

func (f *fields) bad(s string) {
	if f.err == nil {
		f.err = fmt.Errorf("value %d: %.40q is not a number", f.at-1, s)
	}
}

func (f *fields) int() int64 {
	s := f.text()
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil && s != "" {
		f.bad(s)
	}
	return v
}

func (f *fields) uint() uint64 {
	s := f.text()
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.bad(s)
	}
	return v
}

func (f *fields) float() float64 {
	s := f.text()
	v, err := strconv.ParseFloat(s, 64)
	if err != nil && s != "" {
		f.bad(s)
	}
	return v
}

func (f *fields) pairs() map[string]float64 {
	s := f.text()
	if s == "" {
		return nil
	}
	m := map[string]float64{}
	for p := range strings.SplitSeq(s, ",") {
		k, v, _ := strings.Cut(p, ":")
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			f.bad(p)
		}
		m[k] = x
	}
	return m
}

func (f *fields) done() error {
	if f.err == nil && f.at < len(f.parts) {
		return fmt.Errorf("%d values too many", len(f.parts)-f.at)
	}
	return f.err
}
