package discovery

import (
	"fmt"
	"strconv"

	"maddergap/internal/http1"
	"maddergap/internal/nodelist"
)

type callState uint8

const (
	dialing callState = iota
	connected
	waiting   // for the answer's first byte
	receiving // its answer
)

// call is one request for the list, and the connection that it is made on.
type call struct {
	conn     int // of the client's own numbering
	state    callState
	began    Time
	deadline Time
	// notBefore is when a connection that stands may carry the call.
	notBefore Time
	first     Time  // when the answer began
	progress  Time  // when bytes of it came last
	base      int64 // the version that changes were asked from
	whole     bool  // the whole list was asked for

	in      []byte
	scanned int
	interim int // 1xx answers that came
	header  http1.Response
	inBody  bool
	body    http1.Body
	size    int
	list    listReader
}

// request writes the call.
func (k *call) request(addr string, hold Time) []byte {
	b := append([]byte(nil), "GET /api/targets"...)
	if !k.whole {
		b = strconv.AppendInt(append(b, "?from="...), k.base, 10)
		b = strconv.AppendInt(append(b, "&hold_ms="...), hold.Milliseconds(), 10)
	}
	return append(append(append(b, " HTTP/1.1\r\nHost: "...), addr...), "\r\n\r\n"...)
}

// again makes the connection ready for another call.
func (k *call) again(notBefore Time) {
	*k = call{conn: k.conn, state: connected, notBefore: notBefore, in: k.in[:0]}
}

// refusedError is an answer that turns the call away.
type refusedError struct{ status int }

func (e *refusedError) Error() string { return fmt.Sprintf("the call is refused with %d", e.status) }

// data takes bytes of the connection and tells whether the answer is whole.
func (k *call) data(p []byte) (done bool, err error) {
	k.in = append(k.in, p...)
	for !k.inBody {
		n := http1.DefaultLimits.Block(k.in, &k.scanned)
		if n == 0 {
			return false, nil
		}
		if err := k.head(k.in[:n]); err != nil {
			return false, err
		}
		k.in = append(k.in[:0], k.in[n:]...)
	}
	rest := k.in
	for len(rest) > 0 && !k.body.Done() {
		var data []byte
		if data, rest, err = k.body.Next(rest); err != nil {
			return false, err
		}
		if k.size += len(data); k.size > maxList {
			return false, fmt.Errorf("a list of more than %d bytes", maxList)
		}
		if err := k.list.read(data); err != nil {
			return false, err
		}
	}
	k.in = append(k.in[:0], rest...)
	return k.body.Done(), nil
}

// head takes the header block of an answer, or of a 1xx ahead of it.
func (k *call) head(block []byte) error {
	if err := http1.ParseResponse(block, &k.header, "GET", http1.DefaultLimits); err != nil {
		return err
	}
	status := k.header.Status
	if status >= 100 && status < 200 && status != 101 { // more is to come
		if k.interim++; k.interim > http1.InterimMax {
			return fmt.Errorf("1xx answers without end")
		}
		return nil
	}
	k.interim = 0
	switch {
	case status == 503:
		return &refusedError{status}
	case status != 200 || k.header.Length > maxList:
		return fmt.Errorf("answered %d with %d bytes", status, k.header.Length)
	}
	k.inBody, k.size = true, 0
	k.body.Reset(&k.header.Message)
	return nil
}

// ends tells whether the connection cannot carry another call.
func (k *call) ends() bool { return k.header.Close || len(k.in) > 0 }

// answer is what a call brought.
type answer struct {
	index    int64
	snapshot bool
	nodes    []nodelist.Node
}
