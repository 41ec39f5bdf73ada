// Package http1 implements parsing and writing of HTTP/1.1 messages (RFC 9112, with the field syntax of
// RFC 9110). It works on byte slices and does no I/O. Parsed messages refer to the bytes that were
// parsed. Parsing into a reused message allocates nothing once its field slice is large enough.
//
// Parsing is strict where lenience would permit request smuggling: a bare CR or LF, a folded line, white
// space before the colon, two different lengths, and a length together with a transfer coding are always
// errors.
package http1

import "bytes"

// Limits bounds the header of a message.
type Limits struct {
	HeaderBytes int // maximum size of the whole header, with the empty line at its end
	TargetBytes int // maximum size of the request target
	FieldCount  int // maximum number of header fields
}

// DefaultLimits are far above what common WebDAV clients send.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, TargetBytes: 4 << 10, FieldCount: 100}

// MaxInterimResponses is the maximum number of 1xx responses before a final response.
const MaxInterimResponses = 16

// Message is the common part of requests and responses.
type Message struct {
	MinorVersion  int // 0 for HTTP/1.0, 1 for HTTP/1.1
	Fields        []Field
	ContentLength int64 // length of the body in bytes; -1 if the header does not determine it
	Chunked       bool  // set if the body has the chunked transfer coding
	Close         bool  // set if the connection ends with this message
}

// Get returns the value of the first field with the name, regardless of case, or nil if there is none.
func (m *Message) Get(name string) []byte {
	for i := range m.Fields {
		if EqualFold(m.Fields[i].Name, name) {
			return m.Fields[i].Value
		}
	}
	return nil
}

// HeaderEnd returns the length of the header at the start of p, with the empty line at its end, or 0 if
// the header is incomplete. scanned is the number of bytes of p that an earlier call has already
// searched. A line that ends with a bare LF counts as the end of the header: the header is invalid
// whatever follows.
func HeaderEnd(p []byte, scanned int) int {
	const overlap = 3 // an earlier call may have seen up to 3 bytes of the final CRLFCRLF
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

// FindHeaderEnd is like HeaderEnd, but if p contains no complete header and exceeds the limit, it returns
// the length of p, which the parser then rejects. It returns 0 while more bytes are needed. The caller
// keeps scanned between the calls for one header; it starts at 0.
func (l Limits) FindHeaderEnd(p []byte, scanned *int) int {
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

// cutLine splits p after its first line and returns the line without its CRLF. The line must contain no
// other CR or LF.
func cutLine(p []byte) (line, rest []byte, err error) {
	i := bytes.IndexByte(p, '\n')
	if i < 1 || p[i-1] != '\r' || bytes.IndexByte(p[:i-1], '\r') >= 0 {
		return nil, nil, errBareLineBreak
	}
	return p[:i-1], p[i+1:], nil
}

// parseVersion parses "HTTP/1.0" or "HTTP/1.1" and returns the minor version.
func parseVersion(b []byte) (minor int, err error) {
	if len(b) != len("HTTP/1.1") || string(b[:5]) != "HTTP/" || b[6] != '.' {
		return 0, errRequestLine
	}
	if b[5] != '1' || (b[7] != '0' && b[7] != '1') {
		return 0, errVersion
	}
	return int(b[7] - '0'), nil
}
