package discovery

import (
	"encoding/json"

	"github.com/valyala/fastjson"

	"maddergap/internal/nodelist"
)

// endpointList is a decoded response.
type endpointList struct {
	index    int64 // its version
	snapshot bool  // the full list, not only changes
	nodes    []nodelist.Node
}

// listDecoder decodes a list while its bytes come, so that no iteration of the event loop
// decodes more than it was given: a large list would otherwise stall all requests. It scans for
// the elements of the top-level array "endpoints" and decodes each as soon as it is complete.
// The rest, the envelope, is decoded at the end.
type listDecoder struct {
	zones  zoneTable
	parser fastjson.Parser

	envelope []byte // the text without the array's elements
	element  []byte // the text of the element that is being scanned
	nodes    []nodelist.Node

	// The position of the scan.
	depth       int    // of nested objects and arrays
	inEndpoints bool   // in the array of endpoints
	inString    bool   // between quotes
	escaped     bool   // behind a backslash in a string
	lastKey     []byte // the start of the last string at depth 1, which is the key of the next value
}

const (
	endpointsKey = "endpoints"
	// Depths of the scan: the members of the top-level object, and the elements of the array.
	envelopeDepth = 1
	elementDepth  = 2
)

// write takes the next bytes. Errors are ErrMalformedList and ErrListTooLarge.
func (d *listDecoder) write(p []byte) error {
	for _, b := range p {
		if err := d.writeByte(b); err != nil {
			return err
		}
	}
	return nil
}

func (d *listDecoder) writeByte(b byte) error {
	wasInElement := d.inElement()
	arrayOpened := d.advance(b)
	switch {
	case arrayOpened:
		d.envelope = append(d.envelope, b)
		return nil
	case wasInElement || d.inElement():
		return d.appendElement(b)
	case !d.inEndpoints:
		return d.appendEnvelope(b)
	case !isSeparator(b):
		return malformed("%q between the endpoints", b)
	}
	return nil
}

// inElement reports whether the scan is within an element of the array. A string that is an
// element itself is one too; it is found malformed when it is complete.
func (d *listDecoder) inElement() bool {
	return d.inEndpoints && (d.depth > elementDepth || d.inString)
}

// advance moves the scan by a byte and reports whether the byte opens the array of endpoints.
func (d *listDecoder) advance(b byte) (arrayOpened bool) {
	switch {
	case d.inString:
		d.advanceInString(b)
	case b == '"':
		d.inString = true
		if d.depth == envelopeDepth {
			d.lastKey = d.lastKey[:0]
		}
	case b == '{' || b == '[':
		d.depth++
		if b == '[' && d.depth == elementDepth && string(d.lastKey) == endpointsKey {
			d.inEndpoints = true
			return true
		}
	case b == '}' || b == ']':
		d.depth--
		if d.inEndpoints && d.depth == envelopeDepth {
			d.inEndpoints = false
		}
	}
	return false
}

func (d *listDecoder) advanceInString(b byte) {
	switch {
	case d.escaped:
		d.escaped = false
	case b == '\\':
		d.escaped = true
	case b == '"':
		d.inString = false
		return
	}
	if d.depth == envelopeDepth && len(d.lastKey) <= len(endpointsKey) {
		d.lastKey = append(d.lastKey, b)
	}
}

func isSeparator(b byte) bool {
	return b == ',' || b == ' ' || b == '\n' || b == '\r' || b == '\t'
}

func (d *listDecoder) appendEnvelope(b byte) error {
	d.envelope = append(d.envelope, b)
	if len(d.envelope) > maxEnvelopeBytes {
		return tooLarge("more than %d bytes beside the endpoints", maxEnvelopeBytes)
	}
	return nil
}

func (d *listDecoder) appendElement(b byte) error {
	d.element = append(d.element, b)
	if len(d.element) > maxEndpointBytes {
		return tooLarge("an endpoint of more than %d bytes", maxEndpointBytes)
	}
	if d.depth == elementDepth && !d.inString {
		return d.decodeElement()
	}
	return nil
}

// decodeElement decodes a complete element and makes room for the next.
func (d *listDecoder) decodeElement() error {
	if len(d.nodes) >= nodelist.MaxNodes {
		return errTooManyNodes
	}
	value, err := d.parser.ParseBytes(d.element)
	if err != nil {
		return malformed("an endpoint: %w", err)
	}
	d.element = d.element[:0]
	endpoint, err := decodeEndpoint(value)
	if err != nil {
		return err
	}
	node, err := d.zones.nodeOf(&endpoint)
	if err != nil {
		return err
	}
	d.nodes = append(d.nodes, node)
	return nil
}

// decodeEndpoint decodes the fields of an endpoint. An absent one has its zero value, one that
// is not known is ignored.
func decodeEndpoint(value *fastjson.Value) (e Endpoint, err error) {
	object, err := value.Object()
	if err != nil {
		return e, malformed("an endpoint that is not an object")
	}
	object.Visit(func(key []byte, v *fastjson.Value) {
		var fieldErr error
		switch string(key) {
		case "name":
			fieldErr = decodeString(&e.Name, v)
		case "address":
			fieldErr = decodeString(&e.Address, v)
		case "zone":
			fieldErr = decodeString(&e.Zone, v)
		case "status":
			fieldErr = decodeString(&e.Status, v)
		case "group":
			e.Group, fieldErr = v.Int()
		case "since_ms":
			e.Since, fieldErr = v.Float64()
		}
		if fieldErr != nil && err == nil {
			err = malformed("an endpoint's %s: %w", key, fieldErr)
		}
	})
	return e, err
}

func decodeString(to *string, v *fastjson.Value) error {
	b, err := v.StringBytes()
	*to = string(b)
	return err
}

// finish decodes the envelope and returns the complete list.
func (d *listDecoder) finish() (endpointList, error) {
	var envelope struct {
		Index     *int64          `json:"index"`
		Snapshot  bool            `json:"snapshot"`
		Endpoints json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(d.envelope, &envelope); err != nil {
		return endpointList{}, malformed("%w", err)
	}
	if envelope.Index == nil {
		return endpointList{}, errMissingIndex
	}
	switch string(envelope.Endpoints) {
	case "", "null", "[]": // absent, or an array whose elements were taken out
	default:
		return endpointList{}, malformed("endpoints is not an array")
	}
	return endpointList{index: *envelope.Index, snapshot: envelope.Snapshot, nodes: d.nodes}, nil
}
