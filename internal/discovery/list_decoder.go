package discovery

import (
	"encoding/json"

	"github.com/valyala/fastjson"

	"maddergap/internal/nodelist"
)

// endpointList is a decoded list or the changes of one.
type endpointList struct {
	index    int64 // version of the list
	snapshot bool  // set for the full list, not set for changes
	nodes    []nodelist.Node
}

// listDecoder decodes a list incrementally as its bytes arrive. Decoding a large list in one
// iteration of the event loop would stall all requests. The decoder scans for the elements of the
// top-level array "endpoints" and decodes each as soon as it is complete. The envelope, which is
// the text around the elements, is decoded at the end.
type listDecoder struct {
	zones  zoneTable
	parser fastjson.Parser

	envelope []byte          // text without the elements of the array
	element  []byte          // text of the current element so far
	nodes    []nodelist.Node // nodes of the elements decoded so far

	// State of the scan.
	depth       int    // nesting depth of objects and arrays
	inEndpoints bool   // set within the array of endpoints
	inString    bool   // set within a string
	escaped     bool   // set after a backslash in a string
	lastKey     []byte // start of the last string at depth 1: the key, if an object or array follows
}

const (
	endpointsKey = "endpoints"
	// Nesting depths of the members of the top-level object and of the elements of the array.
	envelopeDepth = 1
	elementDepth  = 2
)

// write decodes the next bytes. Errors wrap ErrMalformedList or ErrListTooLarge.
func (d *listDecoder) write(p []byte) error {
	for _, b := range p {
		if err := d.writeByte(b); err != nil {
			return err
		}
	}
	return nil
}

// writeByte scans a byte and adds it to the envelope or to the current element.
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
		return malformed("unexpected %q between the endpoints", b)
	}
	return nil
}

// inElement reports whether the scan is within an element of the array. An element may also be a
// string; decodeElement then fails, as it is not an object.
func (d *listDecoder) inElement() bool {
	return d.inEndpoints && (d.depth > elementDepth || d.inString)
}

// advance updates the state of the scan by a byte. It reports whether the byte opens the array of
// endpoints.
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

// advanceInString updates the state of the scan by a byte of a string.
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

// isSeparator reports whether a byte may appear between the elements of an array.
func isSeparator(b byte) bool {
	return b == ',' || b == ' ' || b == '\n' || b == '\r' || b == '\t'
}

// appendEnvelope adds a byte to the envelope.
func (d *listDecoder) appendEnvelope(b byte) error {
	d.envelope = append(d.envelope, b)
	if len(d.envelope) > maxEnvelopeBytes {
		return tooLarge("more than %d bytes outside the endpoints", maxEnvelopeBytes)
	}
	return nil
}

// appendElement adds a byte to the current element, and decodes the element if it is complete.
func (d *listDecoder) appendElement(b byte) error {
	d.element = append(d.element, b)
	if len(d.element) > maxEndpointBytes {
		return tooLarge("an endpoint has more than %d bytes", maxEndpointBytes)
	}
	if d.depth == elementDepth && !d.inString {
		return d.decodeElement()
	}
	return nil
}

// decodeElement decodes the current element, adds its node and clears the element for the next.
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
	node, err := d.zones.convertEndpoint(&endpoint)
	if err != nil {
		return err
	}
	d.nodes = append(d.nodes, node)
	return nil
}

// decodeEndpoint decodes the fields of an endpoint. An absent field gets its zero value, and an
// unknown field is ignored.
func decodeEndpoint(value *fastjson.Value) (e Endpoint, err error) {
	object, err := value.Object()
	if err != nil {
		return e, malformed("an endpoint is not an object")
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

func decodeString(dst *string, v *fastjson.Value) error {
	b, err := v.StringBytes()
	*dst = string(b)
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
	case "", "null", "[]": // absent, or an array whose elements are not in the envelope
	default:
		return endpointList{}, malformed("endpoints is not an array")
	}
	return endpointList{index: *envelope.Index, snapshot: envelope.Snapshot, nodes: d.nodes}, nil
}
