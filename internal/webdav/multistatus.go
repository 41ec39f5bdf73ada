package webdav

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"strings"
)

const (
	multistatusStart = `<?xml version="1.0" encoding="utf-8"?>` + "\n" + `<D:multistatus xmlns:D="DAV:">`
	multistatusEnd   = "</D:multistatus>\n"
)

// ListVolumes returns the body of the response to a PROPFIND of "/". It lists "/" and, for depth "1", its
// members, the volumes.
func ListVolumes(p Propfind, volumes []string, depth string) []byte {
	var b bytes.Buffer
	b.WriteString(multistatusStart)
	writeCollection(&b, p, "/", "/")
	if depth == "1" {
		for _, v := range volumes {
			writeCollection(&b, p, "/"+v+"/", v)
		}
	}
	b.WriteString(multistatusEnd)
	return b.Bytes()
}

// writeCollection writes the response element of a collection with the requested properties. Properties
// that the collection does not have are listed with status 404.
func writeCollection(b *bytes.Buffer, p Propfind, href, name string) {
	const resourceType = "<D:resourcetype><D:collection/></D:resourcetype>"
	displayName := "<D:displayname>" + escape(name) + "</D:displayname>"
	var found, missing strings.Builder
	switch {
	case p.NamesOnly:
		found.WriteString("<D:resourcetype/><D:displayname/>")
	case p.AllProperties:
		found.WriteString(resourceType + displayName)
	}
	for _, property := range p.Properties {
		switch property {
		case xml.Name{Space: davNamespace, Local: "resourcetype"}:
			found.WriteString(resourceType)
		case xml.Name{Space: davNamespace, Local: "displayname"}:
			found.WriteString(displayName)
		default:
			fmt.Fprintf(&missing, `<X:%s xmlns:X="%s"/>`, property.Local, escape(property.Space))
		}
	}
	b.WriteString("<D:response><D:href>" + escape(href) + "</D:href>")
	if found.Len() > 0 || missing.Len() == 0 {
		writePropstat(b, found.String(), "200 OK")
	}
	if missing.Len() > 0 {
		writePropstat(b, missing.String(), "404 Not Found")
	}
	b.WriteString("</D:response>")
}

func writePropstat(b *bytes.Buffer, properties, status string) {
	b.WriteString("<D:propstat><D:prop>" + properties + "</D:prop><D:status>HTTP/1.1 " + status + "</D:status></D:propstat>")
}

// escape returns s with the reserved characters of XML escaped.
func escape(s string) string {
	var b strings.Builder
	xml.EscapeText(&b, []byte(s))
	return b.String()
}

// MergeMultistatus merges the multistatus bodies that the shards sent for the same collection into one.
// Of several response elements with the same href, for instance that of the collection itself, only the
// first is kept. The error is ErrMalformedListing or, if the result exceeds maxBytes, ErrListingTooLarge.
// A single malformed body fails the whole merge; otherwise the members on that shard would be missing
// from the listing unnoticed.
func MergeMultistatus(bodies [][]byte, maxBytes int) ([]byte, error) {
	var merged bytes.Buffer
	merged.WriteString(multistatusStart)
	seen := map[string]bool{}
	for _, body := range bodies {
		if err := appendResponses(&merged, body, seen); err != nil {
			return nil, err
		}
		if merged.Len() > maxBytes {
			return nil, ErrListingTooLarge
		}
	}
	merged.WriteString(multistatusEnd)
	return merged.Bytes(), nil
}

// appendResponses copies the response elements of a body to merged, except those whose href is in seen.
func appendResponses(merged *bytes.Buffer, body []byte, seen map[string]bool) error {
	r := newMultistatusReader(body)
	for {
		element, href, err := r.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !seen[href] {
			seen[href] = true
			writeWithNamespaces(merged, element, r.rootAttrs)
		}
	}
}

// multistatusReader reads the response elements of a multistatus body one after the other.
type multistatusReader struct {
	body      []byte
	decoder   *xml.Decoder
	rootAttrs []xml.Attr // attributes of the multistatus element, which include namespace declarations
	depth     int        // number of open elements; 1 directly within the root
	rootEnded bool       // set when the root element has ended

	inResponse    bool            // whether the last element at depth 2 is a response
	responseStart int64           // offset in body of the last element at depth 2
	inHref        bool            // set within the href element of a response
	href          strings.Builder // content of the href element of the current response
}

func newMultistatusReader(body []byte) *multistatusReader {
	return &multistatusReader{body: body, decoder: xml.NewDecoder(bytes.NewReader(body))} // accepts UTF-8 only
}

// next returns the bytes of the next response element, and its href. The error is io.EOF after the last
// element, or ErrMalformedListing.
func (r *multistatusReader) next() (element []byte, href string, err error) {
	for {
		start := r.decoder.InputOffset()
		token, err := r.decoder.Token()
		if err == io.EOF && r.rootEnded {
			return nil, "", io.EOF
		}
		if err != nil {
			return nil, "", ErrMalformedListing
		}
		switch e := token.(type) {
		case xml.StartElement:
			if err := r.startElement(e, start); err != nil {
				return nil, "", err
			}
		case xml.CharData:
			if r.inHref {
				r.href.Write(e)
			}
		case xml.Directive: // a node must not define entities
			return nil, "", ErrMalformedListing
		case xml.EndElement:
			if !r.endElement() {
				continue
			}
			href := strings.TrimSpace(r.href.String())
			if href == "" {
				return nil, "", ErrMalformedListing
			}
			return r.body[r.responseStart:r.decoder.InputOffset()], href, nil
		}
	}
}

func (r *multistatusReader) startElement(e xml.StartElement, start int64) error {
	r.depth++
	isDAV := e.Name.Space == davNamespace
	switch {
	case r.depth == 1:
		if !isDAV || e.Name.Local != "multistatus" || r.rootEnded {
			return ErrMalformedListing
		}
		r.rootAttrs = e.Attr
	case r.depth == 2:
		r.inResponse = isDAV && e.Name.Local == "response"
		r.responseStart = start
		r.href.Reset()
	case r.depth == 3 && r.inResponse && isDAV && e.Name.Local == "href":
		r.inHref = true
	}
	return nil
}

// endElement reports whether the element that ended is a response element.
func (r *multistatusReader) endElement() bool {
	r.depth--
	switch r.depth {
	case 0:
		r.rootEnded = true
	case 1:
		return r.inResponse
	case 2:
		r.inHref = false
	}
	return false
}

// writeWithNamespaces writes an element. It adds the namespace declarations of the root to the start tag,
// except those that the tag itself contains.
func writeWithNamespaces(output *bytes.Buffer, element []byte, rootAttrs []xml.Attr) {
	nameEnd := bytes.IndexAny(element, " \t\r\n/>")
	startTag := element[:bytes.IndexByte(element, '>')+1]
	output.Write(element[:nameEnd])
	for _, a := range rootAttrs {
		name, ok := namespaceAttr(a)
		if ok && !bytes.Contains(startTag, []byte(name+"=")) {
			fmt.Fprintf(output, ` %s="%s"`, name, escape(a.Value))
		}
	}
	output.Write(element[nameEnd:])
}

// namespaceAttr returns the name of an attribute with its prefix. ok reports whether the attribute
// declares a namespace.
func namespaceAttr(a xml.Attr) (name string, ok bool) {
	switch {
	case a.Name.Space == "xmlns":
		return "xmlns:" + a.Name.Local, true
	case a.Name.Space == "" && a.Name.Local == "xmlns":
		return "xmlns", true
	}
	return "", false
}
