package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// parseRequest parses a request header with the default limits.
func parseRequest(text string) (*Request, error) {
	var r Request
	return &r, ParseRequest([]byte(text), &r, DefaultLimits)
}

// Verifies that requests which two parsers may frame differently are rejected with the right status;
// this prevents request smuggling. Also covers other malformed requests and requests over a limit.
func TestMalformedRequests(t *testing.T) {
	long := strings.Repeat("a", 5000)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"two lengths":        {"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400},
		"length and chunked": {"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"signed length":      {"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n", 400},
		"list of lengths":    {"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n", 400},
		"coding unknown":     {"PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n", 501},
		"coding twice":       {"PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
		"coding in 1.0":      {"PUT /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"obs-fold":           {"GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", 400},
		"bare CR":            {"GET /a HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n", 400},
		"bare LF":            {"GET /a HTTP/1.1\nHost: h\r\n\r\n", 400},
		"space before colon": {"GET /a HTTP/1.1\r\nHost : h\r\n\r\n", 400},
		"no host":            {"GET /a HTTP/1.1\r\n\r\n", 400},
		"two hosts":          {"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400},
		"no target":          {"GET HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"space in target":    {"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"version 2":          {"GET /a HTTP/2.0\r\nHost: h\r\n\r\n", 505},
		"long target":        {"GET /" + long + " HTTP/1.1\r\nHost: h\r\n\r\n", 414},
		"long header":        {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat(long, 4) + "\r\n\r\n", 431},
		"many fields":        {"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: a\r\n", 100) + "\r\n", 431},
		"expectation":        {"PUT /a HTTP/1.1\r\nHost: h\r\nExpect: wonders\r\n\r\n", 417},
		"control in value":   {"GET /a HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n", 400},
	} {
		_, err := parseRequest(c.text)
		var e *Error
		if !errors.As(err, &e) || e.Status != c.status {
			t.Errorf("%s: got error %v, want status %d", name, err, c.status)
		}
	}
}

// Verifies that the fields that frame a message are recognized regardless of case, and that a
// connection of HTTP/1.0 closes by default.
func TestRequestFraming(t *testing.T) {
	r, err := parseRequest("PUT /a/b HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\nContent-Length: 12\r\nExpect: 100-Continue\r\n\r\n")
	if err != nil || string(r.Method) != "PUT" || r.ContentLength != 12 || !r.Close || !r.ExpectContinue || string(r.Host) != "h" {
		t.Fatalf("%+v %v", r, err)
	}
	if r, err = parseRequest("GET /a HTTP/1.0\r\n\r\n"); err != nil || !r.Close || r.ContentLength != 0 {
		t.Fatalf("1.0: %+v %v", r, err)
	}
}

// decode decodes the body at the start of wire in pieces of up to pieceSize bytes. remaining holds the
// bytes after the body.
func decode(m *Message, wire []byte, pieceSize int) (body, remaining []byte, err error) {
	var b BodyDecoder
	b.Reset(m)
	for len(wire) > 0 && !b.Done() {
		piece := wire[:min(pieceSize, len(wire))]
		data, unread, err := b.Next(piece)
		if err != nil {
			return body, wire, err
		}
		body, wire = append(body, data...), wire[len(piece)-len(unread):]
	}
	if !b.Done() {
		return body, wire, io.ErrUnexpectedEOF
	}
	return body, wire, nil
}

// Verifies that a chunked body is decoded the same whatever pieces it arrives in, that the bytes after
// it are not consumed, and that malformed chunks are errors.
func TestChunkedBodyInPieces(t *testing.T) {
	var wire []byte
	want := bytes.Repeat([]byte("0123456789"), 100)
	for p := want; len(p) > 0; {
		n := min(37, len(p))
		wire, p = AppendChunk(wire, p[:n]), p[n:]
	}
	wire = append(AppendLastChunk(wire), "GET"...)
	for n := 1; n < 50; n++ {
		got, remaining, err := decode(&Message{Chunked: true, ContentLength: -1}, wire, n)
		if err != nil || !bytes.Equal(got, want) || string(remaining) != "GET" {
			t.Fatalf("pieces of %d: got %d bytes, remaining %q, error %v", n, len(got), remaining, err)
		}
	}
	for _, bad := range []string{"g\r\n", "\r\n", "3\r\nabcd\r\n", "3\nabc\r\n", "-1\r\n", "3;a\rb\r\nabc\r\n",
		"1234567890123456\r\n", "0\r\n" + strings.Repeat("X: y\r\n", 2000)} {
		if _, _, err := decode(&Message{Chunked: true, ContentLength: -1}, []byte(bad), 7); err == nil || err == io.ErrUnexpectedEOF {
			t.Errorf("%.20q: got %v, want an error of the decoder", bad, err)
		}
	}
}

// Verifies that any mistake in a node's status line is an error with status 502 that names the status
// line. It must not be reported with a status that blames the request.
func TestMalformedStatusLine(t *testing.T) {
	for _, line := range []string{"nonsense", "HTTP/1.1 2x0 OK", "HTTP/1.1 099 Low", "HTTQ/1.1 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1200 OK ok"} {
		var r Response
		err := ParseResponse([]byte(line+"\r\n\r\n"), &r, "GET", DefaultLimits)
		var malformed *Error
		if !errors.As(err, &malformed) || malformed.Status != 502 || !strings.Contains(malformed.Reason, "status line") {
			t.Errorf("%q: got %v, want an error 502 that names the status line", line, err)
		}
	}
}

// Verifies that the length of a response's body is determined by the status, the method of the request
// and the fields.
func TestResponseBodyLength(t *testing.T) {
	for _, c := range []struct {
		text, method string
		length       int64
		untilClose   bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "GET", 5, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD", 0, false},
		{"HTTP/1.1 204 No Content\r\n\r\n", "PUT", 0, false},
		{"HTTP/1.1 200\r\n\r\n", "GET", -1, true},
	} {
		var r Response
		if err := ParseResponse([]byte(c.text), &r, c.method, DefaultLimits); err != nil {
			t.Fatal(err)
		}
		if r.ContentLength != c.length || r.Close != c.untilClose {
			t.Errorf("%q to %s: got length %d, close %v", c.text, c.method, r.ContentLength, r.Close)
		}
	}
}

// Verifies that parsing a request allocates nothing once the field slice is large enough.
func TestParseAllocatesNothing(t *testing.T) {
	text := []byte("GET /feed-a/s1/x HTTP/1.1\r\nHost: 127.0.0.1\r\nUser-Agent: t\r\nAccept: */*\r\nRange: bytes=0-99\r\n\r\n")
	var r Request
	if n := testing.AllocsPerRun(100, func() {
		if HeaderEnd(text, 0) != len(text) || ParseRequest(text, &r, DefaultLimits) != nil {
			t.Fatal("the request was not parsed")
		}
	}); n != 0 {
		t.Errorf("got %v allocations per request, want none", n)
	}
}

// FuzzRequest checks that net/http finds the same method and framing as this parser in each request
// that both accept. Request smuggling needs two parsers that interpret a header differently.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Add([]byte("PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		n := HeaderEnd(p, 0)
		var r Request
		if n == 0 || ParseRequest(p[:n], &r, DefaultLimits) != nil {
			return
		}
		std, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(p[:n])))
		if err != nil {
			return // net/http is stricter about some fields that do not frame the message
		}
		if std.Method != string(r.Method) || (std.ContentLength >= 0 && std.ContentLength != r.ContentLength && !r.Chunked) ||
			(len(std.TransferEncoding) > 0) != r.Chunked {
			t.Fatalf("%q: got %s %d %v, net/http has %s %d %v", p[:n], r.Method, r.ContentLength, r.Chunked, std.Method,
				std.ContentLength, std.TransferEncoding)
		}
	})
}

// FuzzChunked checks that a chunked body is decoded the same whatever pieces it arrives in.
func FuzzChunked(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), 1)
	f.Add([]byte("5;x=y\r\nhello\r\n0\r\nT: v\r\n\r\nrest"), 3)
	f.Fuzz(func(t *testing.T, p []byte, n int) {
		n = max(1, n%64)
		m := &Message{Chunked: true, ContentLength: -1}
		a, remainingA, errA := decode(m, p, len(p)+1)
		b, remainingB, errB := decode(m, p, n)
		if (errA == nil) != (errB == nil) || (errA == nil && (!bytes.Equal(a, b) || !bytes.Equal(remainingA, remainingB))) {
			t.Fatalf("in one piece: %q, error %v; in pieces of %d: %q, error %v", a, errA, n, b, errB)
		}
	})
}

func BenchmarkParseRequest(b *testing.B) {
	text := []byte("GET /feed-a/s1/x HTTP/1.1\r\nHost: 127.0.0.1\r\nUser-Agent: t\r\nAccept: */*\r\nRange: bytes=0-99\r\n\r\n")
	var r Request
	b.ReportAllocs()
	for b.Loop() {
		if err := ParseRequest(text, &r, DefaultLimits); err != nil {
			b.Fatal(err)
		}
	}
}
