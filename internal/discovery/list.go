package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fastjson"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

const (
	maxList  = 4 << 20
	maxEntry = 64 << 10
	maxOuter = 64 << 10 // of a list, without its entries
	maxName  = 256
)

// EndpointList is what discovery tells, in its form; a configuration holds one too.
type EndpointList struct {
	Index     *int64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is a line of it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Since   float64 `json:"since_ms"`
}

var states = map[string]scheduler.NodeState{"up": scheduler.Serving, "draining": scheduler.Draining, "removed": scheduler.Removed}

// zoneTable numbers zones: those of the settings in their order, others as they appear.
type zoneTable map[string]int

func newZones(names []string) zoneTable {
	z := zoneTable{}
	for i, name := range names {
		z[name] = i
	}
	return z
}

func (z zoneTable) number(name string) int {
	n, ok := z[name]
	if !ok {
		n = len(z)
		if n < nodelist.MaxNodes {
			z[name] = n
		}
	}
	return n
}

// node checks an entry and gives it in the head's form.
func (z zoneTable) node(e *Endpoint) (nodelist.Node, error) {
	state, ok := states[e.Status]
	if !ok { // guards against words of a later day: nothing new is sent where it is not known to be up
		state = scheduler.Draining
	}
	if e.Name == "" || len(e.Name) > maxName {
		return nodelist.Node{}, fmt.Errorf("an endpoint has no name, or one too long")
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil && state != scheduler.Removed {
		return nodelist.Node{}, fmt.Errorf("endpoint %s: the address %.60q is none", e.Name, e.Address)
	}
	if !(e.Since >= 0 && e.Since < 1e15) {
		return nodelist.Node{}, fmt.Errorf("endpoint %s: since_ms is %v", e.Name, e.Since)
	}
	n := nodelist.Node{Name: e.Name, Addr: e.Address, Zone: z.number(e.Zone), Shard: e.Group, State: state}
	if e.Since > 0 {
		n.Started = time.UnixMicro(int64(e.Since * 1000))
	}
	return n, nil
}

// NodesFromList checks a list and gives its entries in the head's form. An entry that cannot be
// used makes the whole list one that is not.
func (c *Client) NodesFromList(l *EndpointList) ([]nodelist.Node, error) {
	if l.Index == nil {
		return nil, errNoIndex
	}
	if len(l.Endpoints) > nodelist.MaxNodes {
		return nil, errTooMany
	}
	var nodes []nodelist.Node
	for i := range l.Endpoints {
		n, err := c.zones.node(&l.Endpoints[i])
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

var (
	errNoIndex = fmt.Errorf("a list without its index")
	errTooMany = fmt.Errorf("a list of more than %d nodes", nodelist.MaxNodes)
)

// listReader reads a list as its bytes come, so that no turn of the loop decodes more than
// it was given. It cuts the elements of the top object's "endpoints" out, decodes each when
// it is whole, and leaves the rest of the text to the JSON package at the end.
type listReader struct {
	zones    zoneTable
	parser   fastjson.Parser
	outer    []byte // the text without the elements
	element  []byte // the element that is being read
	depth    int
	inArray  bool // in the array of elements
	inString bool
	escaped  bool
	key      []byte // the last string at depth 1
	nodes    []nodelist.Node
}

const endpointsKey = "endpoints"

func (r *listReader) read(p []byte) error {
	for _, b := range p {
		if err := r.step(b); err != nil {
			return err
		}
	}
	return nil
}

// step takes one byte.
func (r *listReader) step(b byte) error {
	inElement := r.inArray && (r.depth > 2 || r.inString)
	switch {
	case r.inString:
		r.stringByte(b)
	case b == '"':
		r.inString = true
		if r.depth == 1 {
			r.key = r.key[:0]
		}
	case b == '{' || b == '[':
		r.depth++
		if b == '[' && r.depth == 2 && string(r.key) == endpointsKey {
			r.inArray = true
			r.outer = append(r.outer, b)
			return nil
		}
	case b == '}' || b == ']':
		r.depth--
		if r.inArray && r.depth == 1 {
			r.inArray = false
		}
	}
	if inElement || r.inArray && (r.depth > 2 || r.inString) {
		if r.element = append(r.element, b); len(r.element) > maxEntry {
			return fmt.Errorf("an endpoint of more than %d bytes", maxEntry)
		}
		if r.depth == 2 && !r.inString {
			return r.endElement()
		}
		return nil
	}
	if r.inArray { // between elements
		if !separator(b) {
			return fmt.Errorf("%q among the endpoints", b)
		}
		return nil
	}
	if r.outer = append(r.outer, b); len(r.outer) > maxOuter {
		return fmt.Errorf("a list with more than %d bytes beside its endpoints", maxOuter)
	}
	return nil
}

func separator(b byte) bool {
	return b == ',' || b == ' ' || b == '\n' || b == '\r' || b == '\t'
}

func (r *listReader) stringByte(b byte) {
	switch {
	case r.escaped:
		r.escaped = false
	case b == '\\':
		r.escaped = true
	case b == '"':
		r.inString = false
		return
	}
	if r.depth == 1 && len(r.key) <= len(endpointsKey) {
		r.key = append(r.key, b)
	}
}

func (r *listReader) endElement() error {
	if len(r.nodes) >= nodelist.MaxNodes {
		return errTooMany
	}
	v, err := r.parser.ParseBytes(r.element)
	if err != nil {
		return fmt.Errorf("an endpoint that cannot be read: %w", err)
	}
	r.element = r.element[:0]
	e, err := entryOf(v)
	if err != nil {
		return err
	}
	n, err := r.zones.node(&e)
	if err != nil {
		return err
	}
	r.nodes = append(r.nodes, n)
	return nil
}

// entryOf reads the fields of an entry; one that is absent is as its zero value.
func entryOf(v *fastjson.Value) (e Endpoint, err error) {
	object, err := v.Object()
	if err != nil {
		return e, fmt.Errorf("an endpoint that is no object")
	}
	object.Visit(func(key []byte, v *fastjson.Value) {
		var fault error
		switch string(key) {
		case "name":
			fault = readText(&e.Name, v)
		case "address":
			fault = readText(&e.Address, v)
		case "zone":
			fault = readText(&e.Zone, v)
		case "status":
			fault = readText(&e.Status, v)
		case "group":
			e.Group, fault = v.Int()
		case "since_ms":
			e.Since, fault = v.Float64()
		}
		if fault != nil && err == nil {
			err = fmt.Errorf("endpoint's %s: %w", key, fault)
		}
	})
	return e, err
}

func readText(text *string, v *fastjson.Value) error {
	b, err := v.StringBytes()
	*text = string(b)
	return err
}

// end gives the list that was read.
func (r *listReader) end() (answer, error) {
	var l struct {
		Index     *int64          `json:"index"`
		Snapshot  bool            `json:"snapshot"`
		Endpoints json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(r.outer, &l); err != nil {
		return answer{}, err
	}
	if l.Index == nil {
		return answer{}, errNoIndex
	}
	if text := string(l.Endpoints); text != "" && text != "null" && text != "[]" { // the elements were cut out
		return answer{}, errors.New("endpoints that are no array")
	}
	return answer{index: *l.Index, snapshot: l.Snapshot, nodes: r.nodes}, nil
}
