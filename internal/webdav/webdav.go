// Package webdav maps WebDAV (RFC 4918) onto volumes that are spread over nodes:
// which methods go to one node, which the head answers itself, how the listings
// of several nodes become one, and what is refused across nodes. It is pure.
package webdav

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"

	"maddergap/internal/route"
)

// Handling says how a request is dealt with.
type Handling int

// Ways to deal with a request.
const (
	Forward       Handling = iota // to the node of its place
	Options                       // the head's own answer
	ListRoot                      // the head's own: the volumes
	MergeListings                 // ask all shards of the volume and merge
	Respond                       // the status and reason given
)

// Decision is how a request is dealt with; Status and Reason where Do is Respond.
type Decision struct {
	Handling Handling
	Status   int
	Reason   string
}

// Allow names the methods that the head speaks.
const Allow = "OPTIONS, GET, HEAD, PUT, DELETE, MKCOL, COPY, MOVE, PROPFIND, PROPPATCH, LOCK, UNLOCK"

// Compliance is the DAV header's value (RFC 4918 18).
const Compliance = "1, 2, 3"

func answer(status int, reason string) Decision { return Decision{Respond, status, reason} }

// Decide looks at method, place and the headers that matter. destination is the
// Destination header; host is the request's own authority; depth is Depth.
func Decide(t *route.Table, method string, at route.Location, depth, destination, host string) Decision {
	switch method {
	case "OPTIONS":
		return Decision{Handling: Options}
	case "GET", "HEAD", "PUT", "DELETE", "MKCOL", "COPY", "MOVE", "PROPFIND", "PROPPATCH", "LOCK", "UNLOCK":
	case "POST":
		return answer(405, "POST has no meaning on stored data")
	default:
		return answer(501, "the method is not known here")
	}
	if at.Kind == route.Unit {
		if method == "COPY" || method == "MOVE" {
			return judgeDestination(t, at, destination, host)
		}
		return Decision{Handling: Forward}
	}
	switch method {
	case "GET", "HEAD":
		return answer(405, "a collection has no content of its own; list it with PROPFIND")
	case "PROPFIND":
		if d := strings.ToLower(depth); d != "0" && d != "1" {
			return answer(403, "propfind-finite-depth: ask for Depth 0 or 1 here") // RFC 4918 9.1
		}
		if at.Kind == route.Root {
			return Decision{Handling: ListRoot}
		}
		return Decision{Handling: MergeListings}
	case "MKCOL", "PUT":
		return answer(405, "volumes are made by configuration") // RFC 4918 9.3.1: it exists
	}
	return answer(403, "volumes are changed by configuration alone")
}

func judgeDestination(t *route.Table, at route.Location, destination, host string) Decision {
	if destination == "" {
		return answer(400, "Destination is missing")
	}
	path, authority, err := route.SplitTarget(destination)
	if err != nil {
		return answer(400, "Destination: "+err.Error())
	}
	if authority != "" && !strings.EqualFold(authority, host) {
		return answer(502, "Destination is on another server")
	}
	to, err := t.Locate(path)
	switch {
	case errors.Is(err, route.ErrUnknownVolume):
		return answer(409, "Destination: "+err.Error())
	case err != nil:
		return answer(400, "Destination: "+err.Error())
	case to.Kind != route.Unit:
		return answer(403, "Destination is a volume or the list of volumes")
	case to.Volume != at.Volume || to.Unit != at.Unit: // RFC 4918 9.8.5, 9.9.4
		return answer(502, "Destination lies in another placement unit (volume and first segment below it); copy the content instead")
	}
	return Decision{Handling: Forward}
}

// Errors of XML bodies.
var (
	ErrMalformedXML     = errors.New("the XML body is malformed")
	ErrMalformedListing = errors.New("a node's listing is malformed")
	ErrListingTooLarge  = errors.New("the listing is larger than listing-max")
)

// Propfind is a parsed PROPFIND body.
type Propfind struct {
	AllProperties, NamesOnly bool
	Properties               []xml.Name
}

const maxProps = 200

// PrefixesBound tells whether no element binds a prefix to the empty namespace,
// which no XML may (Namespaces in XML 1.0, 2.2) and the decoder lets through.
func PrefixesBound(body []byte) bool {
	d := xml.NewDecoder(bytes.NewReader(body))
	for {
		tok, err := d.RawToken()
		if err != nil {
			return true // what is not well-formed is told elsewhere
		}
		if e, ok := tok.(xml.StartElement); ok {
			for _, a := range e.Attr {
				if a.Name.Space == "xmlns" && a.Value == "" {
					return false
				}
			}
		}
	}
}

// ParsePropfind reads a PROPFIND body (RFC 4918 14.20); an empty one asks for all.
func ParsePropfind(body []byte) (p Propfind, err error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return Propfind{AllProperties: true}, nil
	}
	if !PrefixesBound(body) {
		return p, ErrMalformedXML
	}
	d := xml.NewDecoder(bytes.NewReader(body))
	depth, inProp, kinds, root := 0, false, 0, false
	for {
		tok, err := d.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			return p, ErrMalformedXML
		}
		switch e := tok.(type) {
		case xml.StartElement:
			depth++
			dav := e.Name.Space == "DAV:"
			switch {
			case depth == 1:
				if root || !dav || e.Name.Local != "propfind" {
					return p, ErrMalformedXML
				}
				root = true
			case depth == 2 && dav && e.Name.Local == "allprop":
				p.AllProperties = true
				kinds++
			case depth == 2 && dav && e.Name.Local == "propname":
				p.NamesOnly = true
				kinds++
			case depth == 2 && dav && e.Name.Local == "prop":
				inProp = true
				kinds++
			case depth == 3 && inProp:
				if p.Properties = append(p.Properties, e.Name); len(p.Properties) > maxProps {
					return p, ErrMalformedXML
				}
			}
		case xml.EndElement:
			if depth--; depth == 1 {
				inProp = false
			}
		case xml.Directive: // no entities of a client's making
			return p, ErrMalformedXML
		}
	}
	if !root || kinds != 1 {
		return p, ErrMalformedXML
	}
	return p, nil
}

const xmlHead = `<?xml version="1.0" encoding="utf-8"?>` + "\n"

// ListVolumes answers a PROPFIND of "/": volumes are its members.
func ListVolumes(p Propfind, volumes []string, depth string) []byte {
	var b bytes.Buffer
	b.WriteString(xmlHead + `<D:multistatus xmlns:D="DAV:">`)
	one := func(href, name string) {
		b.WriteString("<D:response><D:href>")
		xml.EscapeText(&b, []byte(href))
		b.WriteString("</D:href>")
		known := map[string]string{"resourcetype": "<D:resourcetype><D:collection/></D:resourcetype>",
			"displayname": "<D:displayname>" + escape(name) + "</D:displayname>"}
		var have, lack strings.Builder
		switch {
		case p.NamesOnly:
			have.WriteString("<D:resourcetype/><D:displayname/>")
		case p.AllProperties:
			have.WriteString(known["resourcetype"] + known["displayname"])
		}
		for _, n := range p.Properties {
			if text := known[n.Local]; n.Space == "DAV:" && text != "" {
				have.WriteString(text)
			} else {
				fmt.Fprintf(&lack, `<X:%s xmlns:X="%s"/>`, n.Local, escape(n.Space))
			}
		}
		if have.Len() > 0 || lack.Len() == 0 {
			b.WriteString("<D:propstat><D:prop>" + have.String() + "</D:prop><D:status>HTTP/1.1 200 OK</D:status></D:propstat>")
		}
		if lack.Len() > 0 {
			b.WriteString("<D:propstat><D:prop>" + lack.String() + "</D:prop><D:status>HTTP/1.1 404 Not Found</D:status></D:propstat>")
		}
		b.WriteString("</D:response>")
	}
	one("/", "/")
	if depth == "1" {
		for _, v := range volumes {
			one("/"+v+"/", v)
		}
	}
	b.WriteString("</D:multistatus>\n")
	return b.Bytes()
}

func escape(s string) string {
	var b strings.Builder
	xml.EscapeText(&b, []byte(s))
	return b.String()
}

// MergeMultistatus makes one multistatus body of those that the shards gave for the same
// collection. A response whose href was seen already (the collection itself) is
// left out. What does not parse is an error: never a listing that lacks half.
func MergeMultistatus(bodies [][]byte, most int) ([]byte, error) {
	var out bytes.Buffer
	out.WriteString(xmlHead + `<D:multistatus xmlns:D="DAV:">`)
	seen := map[string]bool{}
	for _, body := range bodies {
		if err := merge(&out, body, seen); err != nil {
			return nil, err
		}
		if out.Len() > most {
			return nil, ErrListingTooLarge
		}
	}
	out.WriteString("</D:multistatus>\n")
	return out.Bytes(), nil
}

// merge copies the response elements of one body, each with the namespaces that
// the body's root declares.
func merge(out *bytes.Buffer, body []byte, seen map[string]bool) error {
	d := xml.NewDecoder(bytes.NewReader(body))
	d.CharsetReader = nil // UTF-8 alone
	var root []xml.Attr
	depth, whole := 0, false
	var start int64
	var href strings.Builder
	var inHref, isResponse bool
	for {
		before := d.InputOffset()
		tok, err := d.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			return ErrMalformedListing
		}
		switch e := tok.(type) {
		case xml.StartElement:
			depth++
			switch {
			case depth == 1:
				if e.Name.Space != "DAV:" || e.Name.Local != "multistatus" || whole {
					return ErrMalformedListing
				}
				root = e.Attr
			case depth == 2:
				isResponse = e.Name.Space == "DAV:" && e.Name.Local == "response"
				start = before
				href.Reset()
			case depth == 3 && isResponse && e.Name.Space == "DAV:" && e.Name.Local == "href":
				inHref = true
			}
		case xml.CharData:
			if inHref {
				href.Write(e)
			}
		case xml.Directive:
			return ErrMalformedListing
		case xml.EndElement:
			switch depth--; {
			case depth == 0:
				whole = true
			case depth == 2:
				inHref = false
			case depth == 1 && isResponse:
				name := strings.TrimSpace(href.String())
				if name == "" {
					return ErrMalformedListing
				}
				if !seen[name] {
					seen[name] = true
					declare(out, body[start:d.InputOffset()], root)
				}
			}
		}
	}
	if !whole {
		return ErrMalformedListing
	}
	return nil
}

// declare writes an element, its start tag extended by the namespaces of the root.
func declare(out *bytes.Buffer, element []byte, root []xml.Attr) {
	end := bytes.IndexAny(element, " \t\r\n/>")
	tag := element[:bytes.IndexByte(element, '>')+1]
	out.Write(element[:end])
	for _, a := range root {
		name := ""
		switch {
		case a.Name.Space == "xmlns":
			name = "xmlns:" + a.Name.Local
		case a.Name.Space == "" && a.Name.Local == "xmlns":
			name = "xmlns"
		default:
			continue
		}
		if !bytes.Contains(tag, []byte(name+"=")) {
			fmt.Fprintf(out, ` %s="%s"`, name, escape(a.Value))
		}
	}
	out.Write(element[end:])
}
