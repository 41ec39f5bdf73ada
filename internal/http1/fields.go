package http1

import (
	"bytes"
	"iter"
)

// Field is a header field. Value has no white space around it.
type Field struct{ Name, Value []byte }

// optionalSpace contains the characters of optional white space (RFC 9110 5.6.3).
const optionalSpace = " \t"

// framing collects the values that finishFraming evaluates once all fields are parsed.
type framing struct {
	chunked   bool // Transfer-Encoding: chunked
	keepAlive bool // Connection: keep-alive
}

// parseFields parses the field lines up to the empty line. It also sets ContentLength, Chunked and
// Close, which depend on the fields.
func (m *Message) parseFields(p []byte, limits Limits) error {
	var fr framing
	for {
		line, remaining, err := cutLine(p)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		p = remaining
		f, err := parseField(line)
		if err != nil {
			return err
		}
		if len(m.Fields) >= limits.FieldCount {
			return errTooManyFields
		}
		m.Fields = append(m.Fields, f)
		if err := m.applyFraming(f, &fr); err != nil {
			return err
		}
	}
	return m.finishFraming(fr)
}

// parseField parses NAME ":" VALUE.
func parseField(line []byte) (Field, error) {
	if line[0] == ' ' || line[0] == '\t' {
		return Field{}, errFoldedLine
	}
	colon := bytes.IndexByte(line, ':')
	if colon < 0 || !isToken(line[:colon]) {
		return Field{}, errField
	}
	value := bytes.Trim(line[colon+1:], optionalSpace)
	for _, c := range value {
		if (c < ' ' && c != '\t') || c == 0x7f {
			return Field{}, errField
		}
	}
	return Field{Name: line[:colon], Value: value}, nil
}

// applyFraming updates the framing of the message if the field concerns it.
func (m *Message) applyFraming(f Field, fr *framing) error {
	switch {
	case EqualFold(f.Name, "content-length"):
		n, ok := ParseDecimal(f.Value)
		if !ok || (m.ContentLength >= 0 && m.ContentLength != n) {
			return errContentLength
		}
		m.ContentLength = n
	case EqualFold(f.Name, "transfer-encoding"):
		if fr.chunked || !EqualFold(f.Value, "chunked") {
			return errUnknownCoding
		}
		fr.chunked = true
	case EqualFold(f.Name, "connection"):
		m.Close = m.Close || HasToken(f.Value, "close")
		fr.keepAlive = fr.keepAlive || HasToken(f.Value, "keep-alive")
	}
	return nil
}

// finishFraming rejects a framing that another parser may interpret differently, and sets Chunked and
// Close.
func (m *Message) finishFraming(fr framing) error {
	if fr.chunked && m.ContentLength >= 0 {
		return errLengthAndCoding
	}
	if fr.chunked && m.MinorVersion == 0 {
		return errCodingInHTTP10
	}
	m.Chunked = fr.chunked
	if m.MinorVersion == 0 && !fr.keepAlive {
		m.Close = true
	}
	return nil
}

// EqualFold reports whether b, a field name or token, equals token, regardless of ASCII case.
func EqualFold(b []byte, token string) bool {
	if len(b) != len(token) {
		return false
	}
	for i := range b {
		if toLower(b[i]) != toLower(token[i]) {
			return false
		}
	}
	return true
}

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// isTokenChar is true for the bytes that are allowed in a token (RFC 9110 5.6.2).
var isTokenChar = func() (table [256]bool) {
	for c := '0'; c <= '9'; c++ {
		table[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		table[c], table[c-'a'+'A'] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		table[c] = true
	}
	return table
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenChar[c] {
			return false
		}
	}
	return len(b) > 0
}

// maxDecimalDigits is the maximum length of a decimal. Any number of 18 digits fits into an int64.
const maxDecimalDigits = 18

// ParseDecimal parses an unsigned decimal integer of 1 to 18 digits.
func ParseDecimal(b []byte) (n int64, ok bool) {
	if len(b) == 0 || len(b) > maxDecimalDigits {
		return 0, false
	}
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = 10*n + int64(c-'0')
	}
	return n, true
}

// HasToken reports whether a comma-separated list contains a token, regardless of case.
func HasToken(list []byte, token string) bool {
	for element := range ListElements(list) {
		if EqualFold(element, token) {
			return true
		}
	}
	return false
}

// ListElements returns an iterator over the elements of a comma-separated list, without the white space
// around them. It includes empty elements.
func ListElements(list []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(list) > 0 {
			var element []byte
			element, list, _ = bytes.Cut(list, comma)
			if !yield(bytes.Trim(element, optionalSpace)) {
				return
			}
		}
	}
}

var comma = []byte(",")

// IsHopByHop reports whether a field is valid for one connection only and must not be forwarded (RFC 9110
// 7.6.1). connection is the value of the Connection field, which lists further such fields. Host is
// forwarded even if it is listed; otherwise a client could list it and make the gateway send a request
// without Host to a node.
func IsHopByHop(name, connection []byte) bool {
	// The length is compared first, since this is called for each field of each message.
	switch len(name) {
	case 2:
		return EqualFold(name, "te")
	case 4:
		if EqualFold(name, "host") {
			return false
		}
	case 7:
		if EqualFold(name, "trailer") || EqualFold(name, "upgrade") {
			return true
		}
	case 10:
		if EqualFold(name, "connection") || EqualFold(name, "keep-alive") {
			return true
		}
	case 14:
		if EqualFold(name, "content-length") {
			return true // the gateway writes its own with the body
		}
	case 16:
		if EqualFold(name, "proxy-connection") {
			return true
		}
	case 17:
		if EqualFold(name, "transfer-encoding") {
			return true
		}
	}
	return len(connection) > 0 && HasToken(connection, string(name))
}
