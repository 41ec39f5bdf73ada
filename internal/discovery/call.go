package discovery

import (
	"strconv"

	"maddergap/internal/http1"
)

// callState is the state of a call. A call passes through the states in their order. After a
// complete response, the next call on the same connection begins as ready.
type callState uint8

const (
	dialing          callState = iota // the connection is being established
	ready                             // the connection is open, the request is not written yet
	awaitingResponse                  // the request is written, no byte of the response has arrived
	receiving                         // a part of the response has arrived
)

func (s callState) String() string {
	return [...]string{"dialing", "ready", "awaiting response", "receiving"}[s]
}

// call is one request for the endpoint list, and the connection that carries it.
type call struct {
	conn  int // number of the connection, assigned by the client
	state callState
	kind  requestKind // valid once the request is written
	// startedAt is the time at which the dial began or, on a reused connection, the request was
	// written; 0 until then.
	startedAt Time
	// deadline is the time at which the call fails, in every state but ready.
	deadline Time
	// notBefore is the earliest time for writing the request on a reused connection.
	notBefore   Time
	firstByteAt Time // arrival of the first byte of the response; valid when receiving
	lastByteAt  Time // arrival of the latest bytes of the response; valid when receiving
	response    responseDecoder
}

// reuse replaces a completed call by the next call on its connection, whose request is not
// written before notBefore.
func (k *call) reuse(notBefore Time) {
	*k = call{conn: k.conn, state: ready, notBefore: notBefore, response: responseDecoder{undecoded: k.response.undecoded[:0]}}
}

// isRequestSent reports whether the request of the call was written.
func (k *call) isRequestSent() bool { return k.state >= awaitingResponse }

// requestKind is the kind of request that a call makes. The server may delay its response to a watch
// while nothing changes; the time for which it may do so is the hold of the watch.
type requestKind uint8

const (
	fullListRequest requestKind = iota // the full list, without delay
	changesRequest                     // the changes since a version, without delay
	watchRequest                       // the changes since a version, when there are any or when the hold has ended
)

func (k requestKind) String() string {
	return [...]string{"full list", "changes", "watch"}[k]
}

// appendRequest appends an HTTP request to b. version is the version of the list in effect, and
// hold the time for which the server may hold a watch. A request for changes has a hold of 0, so
// that the server responds at once. A request for the full list has neither version nor hold.
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

// responseDecoder decodes the response to a call as its bytes arrive.
type responseDecoder struct {
	undecoded []byte // received bytes that are not decoded yet
	scanned   int    // number of bytes of undecoded that were searched for the end of the header
	interim   int    // number of interim (1xx) responses so far
	header    http1.Response
	inBody    bool // set once the header of the final response is complete
	body      http1.BodyDecoder
	bodySize  int // number of bytes of the body so far
	list      listDecoder
}

// write decodes the next bytes and reports whether the response is complete.
func (d *responseDecoder) write(p []byte) (complete bool, err error) {
	d.undecoded = append(d.undecoded, p...)
	for !d.inBody {
		n := http1.DefaultLimits.FindHeaderEnd(d.undecoded, &d.scanned)
		if n == 0 {
			return false, nil
		}
		if err := d.decodeHeader(d.undecoded[:n]); err != nil {
			return false, err
		}
		d.undecoded = append(d.undecoded[:0], d.undecoded[n:]...)
	}
	return d.decodeBody()
}

// decodeHeader decodes the header of the response, or of an interim response before it.
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
		return tooLarge("the body has %d bytes, want at most %d", d.header.ContentLength, maxListBytes)
	}
	d.inBody = true
	d.bodySize = 0
	d.body.Reset(&d.header.Message)
	return nil
}

// decodeBody decodes the part of the body in undecoded, and leaves the bytes after the body there.
func (d *responseDecoder) decodeBody() (complete bool, err error) {
	remaining := d.undecoded
	for len(remaining) > 0 && !d.body.Done() {
		var data []byte
		data, remaining, err = d.body.Next(remaining)
		if err != nil {
			return false, err
		}
		d.bodySize += len(data)
		if d.bodySize > maxListBytes {
			return false, tooLarge("the body has more than %d bytes", maxListBytes)
		}
		if err := d.list.write(data); err != nil {
			return false, err
		}
	}
	d.undecoded = append(d.undecoded[:0], remaining...)
	return d.body.Done(), nil
}

// isConnReusable reports whether the connection can carry another call after a complete response:
// the server keeps the connection open, and sent no further bytes.
func (d *responseDecoder) isConnReusable() bool { return !d.header.Close && len(d.undecoded) == 0 }
