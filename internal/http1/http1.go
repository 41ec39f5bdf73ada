// Package http1 is the codec of HTTP/1.1 messages (RFC 9112, with the field
// syntax of RFC 9110): it parses header blocks and bodies out of bytes that
// are handed to it, and does no I/O. Parsed messages point into the bytes they
// were parsed from; nothing is allocated once a message's field table is warm.
//
// Parsing is strict where a lenient reading is a way to smuggle a request: a
// bare CR or LF, a folded line, white space before the colon, two lengths, or
// a length beside a transfer coding are errors, never repaired.
package http1

import (
	"bytes"
	"fmt"
	"iter"
)

// Limits bound one message's header.
type Limits struct {
	HeaderBytes int // bytes of the whole block
	TargetBytes int // bytes of the request target
	FieldCount  int // number of fields
}

// DefaultLimits hold what common WebDAV clients send, with room.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, TargetBytes: 4 << 10, FieldCount: 100}

// Error is a fault of a message, with the status that answers it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func fault(status int, reason string) *Error { return &Error{status, reason} }

// The faults, made once: a flood of bad requests allocates nothing.
var (
	errBareCR     = fault(400, "a bare CR or LF in the header")
	errLine       = fault(400, "the request line is not METHOD SP TARGET SP VERSION")
	errStatusLine = fault(502, "the status line is malformed")
	errVersion    = fault(505, "only HTTP/1.0 and HTTP/1.1 are spoken")
	errTarget     = fault(400, "the request target is malformed")
	errTargetLong = fault(414, "the request target is too long")
	errFold       = fault(400, "a folded header line (obs-fold)")
	errField      = fault(400, "a header field is malformed")
	errFields     = fault(431, "too many header fields")
	errHeaderLong = fault(431, "the header is too long")
	errHost       = fault(400, "want exactly one Host")
	errTwoLengths = fault(400, "two lengths that differ, or a length that is no number")
	errBoth       = fault(400, "both Content-Length and Transfer-Encoding")
	errCoding     = fault(501, "the only transfer coding known is chunked")
	errCoding10   = fault(400, "Transfer-Encoding in HTTP/1.0")
	errExpect     = fault(417, "the only expectation known is 100-continue")
	errChunk      = fault(400, "a chunk is malformed")
	errTrailer    = fault(431, "the trailer is too long")
)

// Field is a header field.
type Field struct{ Name, Value []byte }

// Message is what requests and responses have in common.
type Message struct {
	MinorVersion  int // of HTTP/1.x
	Fields        []Field
	ContentLength int64 // of the body; -1 where it is not told
	Chunked       bool
	Close         bool // the connection ends with this message
}

// Request is a parsed request header.
type Request struct {
	Message
	Method, Target []byte
	Host           []byte
	ExpectContinue bool // 100-continue
}

// Response is a parsed response header.
type Response struct {
	Message
	Status int
}

// HeaderEnd returns the length of the header block at the start of p, its
// empty line included, or 0 where it is not complete. scanned is how many
// bytes of p an earlier call already looked at. A line that ends with a bare LF
// ends the block: it cannot become a header any more, and is not waited for.
func HeaderEnd(p []byte, scanned int) int {
	for i := max(0, scanned-3); ; {
		n := bytes.IndexByte(p[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n + 1
		if i < 2 || p[i-2] != '\r' || i >= 4 && p[i-3] == '\n' && p[i-4] == '\r' {
			return i
		}
	}
}

// HeaderBlock is HeaderEnd within the bound: all of p once that is past it, for the parser to
// refuse, and 0 while more is to be waited for. scanned is kept between calls.
func (l Limits) HeaderBlock(p []byte, scanned *int) int {
	n := HeaderEnd(p, *scanned)
	if n == 0 && len(p) <= l.HeaderBytes {
		*scanned = len(p)
		return 0
	}
	if *scanned = 0; n == 0 {
		n = len(p)
	}
	return n
}

// Get returns the first field of the name (any case), nil if there is none.
func (m *Message) Get(name string) []byte {
	for i := range m.Fields {
		if EqualFold(m.Fields[i].Name, name) {
			return m.Fields[i].Value
		}
	}
	return nil
}

// EqualFold compares a field name or token with a word, letters in any case.
func EqualFold(b []byte, word string) bool {
	if len(b) != len(word) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(word[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// tchar marks the bytes of a token (RFC 9110 5.6.2).
var tchar = func() (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-'a'+'A'] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !tchar[c] {
			return false
		}
	}
	return len(b) > 0
}

// line cuts the first line off a block; its CRLF is checked to be the only CR or LF.
func line(p []byte) (first, rest []byte, err error) {
	i := bytes.IndexByte(p, '\n')
	if i < 1 || p[i-1] != '\r' || bytes.IndexByte(p[:i-1], '\r') >= 0 {
		return nil, nil, errBareCR
	}
	return p[:i-1], p[i+1:], nil
}

// ParseRequest parses a header block that HeaderEnd measured. r is reused.
func ParseRequest(block []byte, r *Request, lim Limits) error {
	*r = Request{Message: Message{Fields: r.Fields[:0], ContentLength: -1}}
	if len(block) > lim.HeaderBytes {
		return errHeaderLong
	}
	first, rest, err := line(block)
	if err != nil {
		return err
	}
	sp := bytes.IndexByte(first, ' ')
	last := bytes.LastIndexByte(first, ' ')
	if sp <= 0 || last <= sp {
		return errLine
	}
	r.Method, r.Target = first[:sp], first[sp+1:last]
	if !isToken(r.Method) || len(r.Target) == 0 {
		return errLine
	}
	if r.MinorVersion, err = version(first[last+1:]); err != nil {
		return err
	}
	if len(r.Target) > lim.TargetBytes {
		return errTargetLong
	}
	for _, c := range r.Target {
		if c <= ' ' || c >= 0x7f || c == '#' {
			return errTarget
		}
	}
	if err := r.fields(rest, lim); err != nil {
		return err
	}
	hosts := 0
	for _, f := range r.Fields {
		switch {
		case EqualFold(f.Name, "host"):
			r.Host = f.Value
			hosts++
		case EqualFold(f.Name, "expect"):
			if !EqualFold(f.Value, "100-continue") {
				return errExpect
			}
			r.ExpectContinue = r.MinorVersion == 1
		}
	}
	if hosts > 1 || (hosts == 0 && r.MinorVersion == 1) {
		return errHost
	}
	if !r.Chunked && r.ContentLength < 0 {
		r.ContentLength = 0 // RFC 9112 6.3: no length, no body
	}
	return nil
}

// ParseResponse parses a header block of a response to a request of the method.
func ParseResponse(block []byte, r *Response, method string, lim Limits) error {
	*r = Response{Message: Message{Fields: r.Fields[:0], ContentLength: -1}}
	if len(block) > lim.HeaderBytes {
		return errHeaderLong
	}
	first, rest, err := line(block)
	if err != nil {
		return err
	}
	if len(first) < 12 || first[8] != ' ' || (len(first) > 12 && first[12] != ' ') {
		return errStatusLine
	}
	if r.MinorVersion, err = version(first[:8]); err != nil {
		return err
	}
	for _, c := range first[9:12] {
		if c < '0' || c > '9' {
			return errStatusLine
		}
		r.Status = 10*r.Status + int(c-'0')
	}
	if r.Status < 100 {
		return errStatusLine
	}
	if err := r.fields(rest, lim); err != nil {
		return err
	}
	// RFC 9112 6.3: these have no body whatever their fields say.
	if method == "HEAD" || r.Status < 200 || r.Status == 204 || r.Status == 304 {
		r.ContentLength, r.Chunked = 0, false
	}
	if r.ContentLength < 0 && !r.Chunked {
		r.Close = true // the body ends with the connection
	}
	return nil
}

func version(b []byte) (minor int, err error) {
	if len(b) != 8 || string(b[:5]) != "HTTP/" || b[6] != '.' {
		return 0, errLine
	}
	if b[5] != '1' || (b[7] != '0' && b[7] != '1') {
		return 0, errVersion
	}
	return int(b[7] - '0'), nil
}

// fields parses field lines up to the empty line and takes what frames the message.
func (m *Message) fields(p []byte, lim Limits) error {
	var coded, keep bool
	for {
		l, rest, err := line(p)
		if err != nil {
			return err
		}
		if p = rest; len(l) == 0 {
			break
		}
		if l[0] == ' ' || l[0] == '\t' {
			return errFold
		}
		colon := bytes.IndexByte(l, ':')
		if colon < 0 || !isToken(l[:colon]) {
			return errField
		}
		value := bytes.Trim(l[colon+1:], " \t")
		for _, c := range value {
			if (c < ' ' && c != '\t') || c == 0x7f {
				return errField
			}
		}
		if len(m.Fields) >= lim.FieldCount {
			return errFields
		}
		f := Field{l[:colon], value}
		m.Fields = append(m.Fields, f)
		switch {
		case EqualFold(f.Name, "content-length"):
			n, ok := ParseDecimal(value)
			if !ok || (m.ContentLength >= 0 && m.ContentLength != n) {
				return errTwoLengths
			}
			m.ContentLength = n
		case EqualFold(f.Name, "transfer-encoding"):
			if coded || !EqualFold(value, "chunked") {
				return errCoding
			}
			coded = true
		case EqualFold(f.Name, "connection"):
			m.Close = m.Close || HasToken(value, "close")
			keep = keep || HasToken(value, "keep-alive")
		}
	}
	if coded && m.ContentLength >= 0 {
		return errBoth
	}
	if coded && m.MinorVersion == 0 {
		return errCoding10
	}
	m.Chunked = coded
	if m.MinorVersion == 0 && !keep {
		m.Close = true
	}
	return nil
}

// ParseDecimal reads a decimal without sign, up to 2^62.
func ParseDecimal(b []byte) (n int64, ok bool) {
	if len(b) == 0 || len(b) > 18 {
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

// HasToken tells whether a comma-separated list names a token.
func HasToken(list []byte, token string) bool {
	for part := range ListElements(list) {
		if EqualFold(part, token) {
			return true
		}
	}
	return false
}

// ListElements are the elements of a comma-separated list, without the blanks around them.
func ListElements(list []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(list) > 0 {
			var part []byte
			if part, list, _ = bytes.Cut(list, comma); !yield(bytes.Trim(part, " \t")) {
				return
			}
		}
	}
}

var comma = []byte(",")

// MaxInterimResponses is how many 1xx answers may come before one.
const MaxInterimResponses = 16

// HopByHop tells whether a field speaks of one connection alone and is not
// passed on (RFC 9110 7.6.1); listed is the value of Connection.
func HopByHop(name, listed []byte) bool {
	switch len(name) {
	case 2:
		return EqualFold(name, "te")
	case 4:
		if EqualFold(name, "host") {
			return false // whatever Connection lists: guards against a request without one at the node
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
			return true // written anew with the body
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
	return len(listed) > 0 && HasToken(listed, string(name))
}

// StatusText names a status.
func StatusText(status int) string {
	if t := texts[status]; t != "" {
		return t
	}
	return "Status"
}

var texts = map[int]string{
	100: "Continue", 200: "OK", 201: "Created", 204: "No Content", 206: "Partial Content",
	207: "Multi-Status", 301: "Moved Permanently", 304: "Not Modified", 400: "Bad Request",
	403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 412: "Precondition Failed", 413: "Content Too Large",
	414: "URI Too Long", 415: "Unsupported Media Type", 416: "Range Not Satisfiable",
	417: "Expectation Failed", 423: "Locked", 424: "Failed Dependency",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported", 507: "Insufficient Storage",
}
