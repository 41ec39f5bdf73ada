package discovery

import (
	"strconv"

	"maddergap/internal/http1"
)

// callState is the life cycle of a call. It passes through the states in their order; after a
// complete response a new call begins as ready on the same connection.
type callState uint8

const (
	dialing          callState = iota // its connection is coming up
	ready                             // its connection is open; the request is not written yet
	awaitingResponse                  // the request is written; no byte of the response came
	receiving                         // a part of the response came
)

func (s callState) String() string {
	return [...]string{"dialing", "ready", "awaiting response", "receiving"}[s]
}

// call is one request for the list and the connection that carries it.
type call struct {
	conn  int // the client's own number of the connection
	state callState
	kind  requestKind // valid once the request is written
	// startedAt is when the dial began, or on a reused connection when the request was written;
	// 0 until then.
	startedAt Time
	// deadline ends the call in every state but ready.
	deadline Time
	// notBefore is the earliest time for writing the request on a reused connection.
	notBefore   Time
	firstByteAt Time // of the response; valid when receiving
	lastByteAt  Time // of the response so far; valid when receiving
	response    responseDecoder
}

// reuse turns a completed call into the next one on its connection.
func (k *call) reuse(notBefore Time) {
	*k = call{conn: k.conn, state: ready, notBefore: notBefore, response: responseDecoder{unread: k.response.unread[:0]}}
}

// sent reports whether the request was written.
func (k *call) sent() bool { return k.state >= awaitingResponse }

// requestKind is what a call asks the server for.
type requestKind uint8

const (
	fullListRequest requestKind = iota // the full list, at once
	changesRequest                     // the changes since a version, at once
	watchRequest                       // the changes since a version; held until there are any
)

func (k requestKind) String() string {
	return [...]string{"full list", "changes", "watch"}[k]
}

// appendRequest appends the message of a request to b: version is the one in force, hold the
// time for which the server may hold a watch. A full list is asked for with neither, changes with a
// hold of 0, so that the server responds at once.
func appendRequest(b []byte, kind requestKind, addr string, version int64, hold Time) []byte {
	b = append(b, "GET /api/targets"...)
	if kind != fullListRequest {
		b = append(b, "?from="...)
		b = strconv.AppendInt(b, version, 10)
		b = append(b, "&hold_ms="...)
		b = strconv.AppendInt(b, hold.Milliseconds(), 10)
	}
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	return append(b, "\r\n\r\n"...)
}

// responseDecoder decodes the response to a call as its bytes come.
type responseDecoder struct {
	unread   []byte // bytes that are not decoded yet
	scanned  int    // how many of them were searched for the end of the header
	interim  int    // interim (1xx) responses so far
	header   http1.Response
	inBody   bool // the header of the final response is complete
	body     http1.BodyDecoder
	bodySize int // bytes of the body so far
	list     listDecoder
}

// write takes the next bytes and reports whether the response is complete.
func (d *responseDecoder) write(p []byte) (complete bool, err error) {
	d.unread = append(d.unread, p...)
	for !d.inBody {
		n := http1.DefaultLimits.HeaderBlock(d.unread, &d.scanned)
		if n == 0 {
			return false, nil
		}
		if err := d.decodeHeader(d.unread[:n]); err != nil {
			return false, err
		}
		d.unread = append(d.unread[:0], d.unread[n:]...)
	}
	return d.decodeBody()
}

// decodeHeader takes the header block of the response, or of an interim response before it.
func (d *responseDecoder) decodeHeader(block []byte) error {
	if err := http1.ParseResponse(block, &d.header, "GET", http1.DefaultLimits); err != nil {
		return err
	}
	status := d.header.Status
	if status >= 100 && status < 200 && status != 101 {
		d.interim++
		if d.interim > http1.MaxInterimResponses {
			return ErrTooManyInterim
		}
		return nil
	}
	d.interim = 0
	if status != 200 {
		return &StatusError{Status: status}
	}
	if d.header.ContentLength > maxListBytes {
		return tooLarge("a body of %d bytes, more than %d", d.header.ContentLength, maxListBytes)
	}
	d.inBody = true
	d.bodySize = 0
	d.body.Reset(&d.header.Message)
	return nil
}

func (d *responseDecoder) decodeBody() (complete bool, err error) {
	remaining := d.unread
	for len(remaining) > 0 && !d.body.Done() {
		var data []byte
		data, remaining, err = d.body.Next(remaining)
		if err != nil {
			return false, err
		}
		d.bodySize += len(data)
		if d.bodySize > maxListBytes {
			return false, tooLarge("a body of more than %d bytes", maxListBytes)
		}
		if err := d.list.write(data); err != nil {
			return false, err
		}
	}
	d.unread = append(d.unread[:0], remaining...)
	return d.body.Done(), nil
}

// connReusable reports whether the connection can carry another call after a complete response:
// the server keeps it open, and sent nothing behind the response.
func (d *responseDecoder) connReusable() bool { return !d.header.Close && len(d.unread) == 0 }
