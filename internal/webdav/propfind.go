package webdav

import (
	"bytes"
	"encoding/xml"
	"io"
)

// maxProperties is the maximum number of properties in a PROPFIND body.
const maxProperties = 200

// Propfind is a parsed PROPFIND body. If none of the booleans is set, it requests Properties.
type Propfind struct {
	AllProperties bool // allprop: all properties are requested
	NamesOnly     bool // propname: the names of all properties are requested
	Properties    []xml.Name
}

// ParsePropfind parses a PROPFIND body (RFC 4918 14.20). An empty body requests all properties. The error
// is ErrMalformedXML.
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
		case xml.Directive: // a client must not define entities
			return p.result, ErrMalformedXML
		}
	}
	if !p.hasRoot || p.kindCount != 1 {
		return p.result, ErrMalformedXML
	}
	return p.result, nil
}

// propfindParser is the state of ParsePropfind between two XML tokens.
type propfindParser struct {
	result    Propfind
	hasRoot   bool // set after the start of the root element
	depth     int  // number of open elements; 1 directly within the root
	inProp    bool // set within the prop element
	kindCount int  // number of allprop, propname and prop elements; a valid body has exactly one
}

func (p *propfindParser) startElement(e xml.StartElement) error {
	p.depth++
	isDAV := e.Name.Space == davNamespace
	switch {
	case p.depth == 1:
		if p.hasRoot || !isDAV || e.Name.Local != "propfind" {
			return ErrMalformedXML
		}
		p.hasRoot = true
	case p.depth == 2 && isDAV:
		p.startKind(e.Name.Local)
	case p.depth == 3 && p.inProp:
		p.result.Properties = append(p.result.Properties, e.Name)
		if len(p.result.Properties) > maxProperties {
			return ErrMalformedXML
		}
	}
	return nil
}

// startKind processes the start of an element that tells the kind of the PROPFIND: allprop, propname or
// prop.
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
	p.kindCount++
}

func (p *propfindParser) endElement() {
	p.depth--
	if p.depth == 1 {
		p.inProp = false
	}
}

// BindsEmptyNamespace reports whether an element binds a prefix to the empty namespace, which Namespaces
// in XML 1.0 (2.2) forbids. encoding/xml accepts such a body, but a response with the same binding would
// be rejected by a stricter parser.
func BindsEmptyNamespace(body []byte) bool {
	decoder := xml.NewDecoder(bytes.NewReader(body))
	for {
		token, err := decoder.RawToken()
		if err != nil {
			return false // the end of the body, or malformed XML, which the caller detects
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
