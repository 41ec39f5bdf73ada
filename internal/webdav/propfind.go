package webdav

import (
	"bytes"
	"encoding/xml"
	"io"
)

// maxProperties is how many properties a PROPFIND body may name.
const maxProperties = 200

// Propfind is a parsed PROPFIND body. Either one of the booleans is set, or Properties are
// the ones wanted.
type Propfind struct {
	AllProperties bool // allprop
	NamesOnly     bool // propname
	Properties    []xml.Name
}

// ParsePropfind parses a PROPFIND body (RFC 4918 14.20). An empty one asks for all
// properties. The error is ErrMalformedXML.
func ParsePropfind(body []byte) (Propfind, error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return Propfind{AllProperties: true}, nil
	}
	if BindsEmptyNamespace(body) {
		return Propfind{}, ErrMalformedXML
	}
	var p propfindParser
	decoder := xml.NewDecoder(bytes.NewReader(body))
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			return p.result, ErrMalformedXML
		}
		switch e := token.(type) {
		case xml.StartElement:
			if err := p.startElement(e); err != nil {
				return p.result, err
			}
		case xml.EndElement:
			p.endElement()
		case xml.Directive: // a client may define no entities
			return p.result, ErrMalformedXML
		}
	}
	if !p.hasRoot || p.kinds != 1 {
		return p.result, ErrMalformedXML
	}
	return p.result, nil
}

// propfindParser is the state of ParsePropfind between two XML tokens.
type propfindParser struct {
	result  Propfind
	hasRoot bool
	depth   int  // of open elements; the root's is 1
	inProp  bool // within the prop element
	kinds   int  // of allprop, propname and prop elements; exactly one is valid
}

func (p *propfindParser) startElement(e xml.StartElement) error {
	p.depth++
	dav := e.Name.Space == davNamespace
	switch {
	case p.depth == 1:
		if p.hasRoot || !dav || e.Name.Local != "propfind" {
			return ErrMalformedXML
		}
		p.hasRoot = true
	case p.depth == 2 && dav:
		p.startKind(e.Name.Local)
	case p.depth == 3 && p.inProp:
		p.result.Properties = append(p.result.Properties, e.Name)
		if len(p.result.Properties) > maxProperties {
			return ErrMalformedXML
		}
	}
	return nil
}

func (p *propfindParser) startKind(name string) {
	switch name {
	case "allprop":
		p.result.AllProperties = true
	case "propname":
		p.result.NamesOnly = true
	case "prop":
		p.inProp = true
	default: // RFC 4918 17: unknown elements are ignored
		return
	}
	p.kinds++
}

func (p *propfindParser) endElement() {
	p.depth--
	if p.depth == 1 {
		p.inProp = false
	}
}

// BindsEmptyNamespace tells whether an element binds a prefix to the empty namespace, which
// Namespaces in XML 1.0 (2.2) forbids. Guards against a body that encoding/xml accepts
// although it is invalid, and that a stricter reader of the response would not.
func BindsEmptyNamespace(body []byte) bool {
	decoder := xml.NewDecoder(bytes.NewReader(body))
	for {
		token, err := decoder.RawToken()
		if err != nil {
			return false // malformed XML is the caller's to find
		}
		e, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		for _, a := range e.Attr {
			if a.Name.Space == "xmlns" && a.Value == "" {
				return true
			}
		}
	}
}
