package scriptednode

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const request = "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

// start starts a node on a free port. The node is closed at the end of the test.
func start(t *testing.T, handler Handler) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := Serve(listener, handler)
	t.Cleanup(n.Close)
	return n
}

// dial connects to a node and sends a request. Reads and writes fail after a second.
func dial(t *testing.T, n *Node) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	return c
}

// Verifies that the handler gets each request with its body, and that a connection with the action
// KeepAlive serves further requests.
func TestKeepAlive(t *testing.T) {
	n := start(t, func(r *http.Request) Response {
		body, err := io.ReadAll(r.Body)
		return OK(fmt.Sprint(r.Method, r.URL.Path, string(body), err))
	})
	c := dial(t, n)
	in := bufio.NewReader(c)
	for range 2 {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(r.Body); err != nil || string(body) != "PUT/abody<nil>" {
			t.Errorf("got body %q, error %v; want the method, path and body of the request", body, err)
		}
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
	}
}

// Verifies which bytes and which error or end the peer reads for each action.
func TestConnActions(t *testing.T) {
	const text = "malformed"
	for _, c := range []struct {
		action  ConnAction
		want    string
		wantErr func(error) bool
	}{
		{Close, text, func(err error) bool { return err == nil }},
		{Reset, text, func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }},
		{Hang, "", isTimeout},
		{KeepAlive, text, isTimeout},
	} {
		t.Run(c.action.String(), func(t *testing.T) {
			n := start(t, func(*http.Request) Response { return Response{Text: text, ConnAction: c.action} })
			conn := dial(t, n)
			conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
			got, err := io.ReadAll(conn)
			// On a busy machine the reset may arrive before the test has read the bytes written before
			// it. The kernel then discards the bytes.
			discarded := c.action == Reset && len(got) == 0
			if string(got) != c.want && !discarded || !c.wantErr(err) {
				t.Errorf("read %q, error %v; want %q and the error or end for this action", got, err, c.want)
			}
		})
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Verifies that Kill resets the connection of a request in progress and that new connections are
// refused.
func TestKill(t *testing.T) {
	requestRead := make(chan struct{})
	n := start(t, func(*http.Request) Response {
		close(requestRead)
		return Response{ConnAction: Hang}
	})
	c := dial(t, n)
	<-requestRead
	n.Kill()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read: got error %v, want ECONNRESET", err)
	}
	if _, err := net.Dial("tcp", n.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial: got error %v, want ECONNREFUSED", err)
	}
}

// Verifies that Close closes connections that hang and returns, instead of waiting for their peers.
func TestCloseEndsHungConnections(t *testing.T) {
	requestRead := make(chan struct{})
	n := start(t, func(*http.Request) Response {
		close(requestRead)
		return Response{ConnAction: Hang}
	})
	c := dial(t, n)
	<-requestRead
	n.Close()
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("read: got error %v, want the end of the stream", err)
	}
}
