package eventloop

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/nodelist"
	"maddergap/internal/scriptednode"
	"maddergap/internal/syscalls"
)

// holdUp is how long the process is held up in the tests. It is longer than connections are left idle
// before they are reused.
const holdUp = 40 * time.Millisecond

// heldUpCalls makes plain system calls. If held is set, the next wait that returns an event is followed by
// a call of duringHoldUp and by holdUp, as if the machine did not run the process.
type heldUpCalls struct {
	syscalls.Linux
	held         *atomic.Bool
	duringHoldUp func()
}

func (c heldUpCalls) EpollWait(epollFD int, events []unix.EpollEvent, timeout int) (int, error) {
	n, err := c.Linux.EpollWait(epollFD, events, timeout)
	if n > 0 && c.held.CompareAndSwap(true, false) {
		c.duringHoldUp()
		time.Sleep(holdUp)
	}
	return n, err
}

// Regression test: a node's second response, which arrived while the process was held up between its wait
// for events and the next request on the connection, was served to the client of that request.
func TestSecondResponseDuringHoldUp(t *testing.T) {
	nodeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer nodeListener.Close()
	nodeConns := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := nodeListener.Accept()
			if err != nil {
				return
			}
			nodeConns <- c
			go respondWithPath(c)
		}
	}()

	var held atomic.Bool
	var firstConn atomic.Pointer[net.Conn]
	calls := heldUpCalls{held: &held, duringHoldUp: func() { writeResponse(*firstConn.Load(), "/v/first") }}
	l, g, addrs := newLoopWithCalls(t, calls, 1)
	g.SetNodes(l.Now(), []nodelist.Node{{Name: "n", Addr: nodeListener.Addr().String()}})
	var stopped atomic.Bool
	done := make(chan error)
	go func() { done <- l.Run(stopped.Load) }()
	defer func() {
		stopped.Store(true)
		l.Wake()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()

	client := dial(t, "127.0.0.1", addrs[0])
	responses := bufio.NewReader(client)
	if body := get(t, client, responses, "/v/first"); body != "/v/first" {
		t.Fatalf("the first response is %q", body)
	}
	conn := <-nodeConns
	firstConn.Store(&conn)
	held.Store(true)
	if body := get(t, client, responses, "/v/second"); body != "/v/second" {
		t.Errorf("the response to the second request is %q, want /v/second", body)
	}
	if held.Load() {
		t.Error("the process was not held up")
	}
}

// respondWithPath responds to each request on a connection with its path.
func respondWithPath(c net.Conn) {
	requests := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		writeResponse(c, r.URL.Path)
	}
}

func writeResponse(c net.Conn, body string) {
	io.WriteString(c, scriptednode.OK(body).Text)
}

// get sends a request and returns the body of the response.
func get(t *testing.T, c net.Conn, responses *bufio.Reader, path string) string {
	t.Helper()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	response, err := http.ReadResponse(responses, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
