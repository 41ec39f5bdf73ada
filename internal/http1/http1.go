// Package http1 is the codec of HTTP/1.1 messages (RFC 9112, with the field syntax of
// RFC 9110). It parses headers and bodies out of bytes that it is given, and does no I/O.
// Parsed messages point into those bytes; nothing is allocated once the field slice of a
// reused message is large enough.
//
// Parsing is strict where a lenient parser lets a request be smuggled: a bare CR or LF, a
// folded line, white space before the colon, two lengths, or a length beside a transfer
// coding are errors and are never repaired.
package http1

import "bytes"

// Limits bound the header of one message.
type Limits struct {
	HeaderBytes int // of the whole header, its empty line included
	TargetBytes int // of the request target
	FieldCount  int // of header fields
}

// DefaultLimits leave ample room for what common WebDAV clients send.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, TargetBytes: 4 << 10, FieldCount: 100}

// MaxInterimResponses is how many 1xx responses may precede a final one.
const MaxInterimResponses = 16

// Message is what requests and responses have in common.
type Message struct {
	MinorVersion  int // x of HTTP/1.x, 0 or 1
	Fields        []Field
	ContentLength int64 // of the body in bytes; -1 if the header does not give it
	Chunked       bool  // the body has the chunked transfer coding
	Close         bool  // the connection ends with this message
}

// Get returns the value of the first field of the name, in any case; nil if there is none.
func (m *Message) Get(name string) []byte {
	for i := range m.Fields {
		if EqualFold(m.Fields[i].Name, name) {
			return m.Fields[i].Value
		}
	}
	return nil
}

// HeaderEnd returns the length of the header at the start of p, its empty line included,
// or 0 if it is incomplete. scanned is how many bytes of p an earlier call has looked at. A
// line that ends with a bare LF ends the header too: it is an error already, and more
// bytes cannot make it valid.
func HeaderEnd(p []byte, scanned int) int {
	const overlap = 3 // of a CRLFCRLF that an earlier call saw in part
	for i := max(0, scanned-overlap); ; {
		n := bytes.IndexByte(p[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		bareLF := i < 2 || p[i-2] != '\r'
		emptyLine := i >= 4 && p[i-3] == '\n' && p[i-4] == '\r'
		if bareLF || emptyLine {
			return i
		}
	}
}

// HeaderBlock is HeaderEnd with a limit: once p is longer, it returns all of p, which the
// parser rejects. It returns 0 while more bytes are needed. scanned is kept by the caller
// between the calls for one header.
func (l Limits) HeaderBlock(p []byte, scanned *int) int {
	n := HeaderEnd(p, *scanned)
	if n == 0 && len(p) <= l.HeaderBytes {
		*scanned = len(p)
		return 0
	}
	*scanned = 0
	if n == 0 {
		return len(p)
	}
	return n
}

// cutLine cuts the first line off a header. Its CRLF must be its only CR or LF.
func cutLine(p []byte) (line, rest []byte, err error) {
	i := bytes.IndexByte(p, '\n')
	if i < 1 || p[i-1] != '\r' || bytes.IndexByte(p[:i-1], '\r') >= 0 {
		return nil, nil, errBareLineBreak
	}
	return p[:i-1], p[i+1:], nil
}

// parseVersion parses "HTTP/1.x" and returns x.
func parseVersion(b []byte) (minor int, err error) {
	if len(b) != len("HTTP/1.1") || string(b[:5]) != "HTTP/" || b[6] != '.' {
		return 0, errRequestLine
	}
	if b[5] != '1' || (b[7] != '0' && b[7] != '1') {
		return 0, errVersion
	}
	return int(b[7] - '0'), nil
}
