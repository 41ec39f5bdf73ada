package discoverytest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"maddergap/internal/discovery"
)

const (
	// idleConnTimeout is how long a connection without a request stays open.
	idleConnTimeout = 10 * time.Second
	// watchPollInterval is how often a watch looks for a change.
	watchPollInterval = 3 * time.Millisecond
)

// Listen opens the agent at a new address (host:port) and returns that. An old address is closed;
// connections to it stay open.
func (a *Agent) Listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a.mu.Lock()
	old := a.listener
	a.listener = listener
	a.mu.Unlock()
	if old != nil {
		old.Close()
	}
	a.serving.Go(func() { a.accept(listener) })
	return listener.Addr().String(), nil
}

// Close closes the agent's listener and connections, and waits for their goroutines.
func (a *Agent) Close() {
	a.mu.Lock()
	a.faults.hangConns() // ends the watches
	if a.listener != nil {
		a.listener.Close()
	}
	for conn := range a.conns {
		conn.Close()
	}
	a.mu.Unlock()
	a.serving.Wait()
}

func (a *Agent) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		a.serving.Go(func() { a.serve(conn) })
	}
}

// serve responds to the calls on a connection. Once one got no response, none does: an agent that
// was down never responds on the connections it had.
func (a *Agent) serve(conn net.Conn) {
	defer conn.Close()
	epoch, hung := a.addConn(conn)
	defer a.removeConn(conn)
	in := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(idleConnTimeout))
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if hung {
			continue
		}
		switch a.handle(conn, in, request, epoch) {
		case callHung:
			hung = true
		case callerGone:
			return
		}
	}
}

func (a *Agent) addConn(conn net.Conn) (epoch int, hung bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[conn] = true
	return a.faults.epoch, a.faults.down
}

func (a *Agent) removeConn(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, conn)
}

// call is what a request asks for.
type call struct {
	isWatch bool          // for changes, not for the full list
	from    int64         // the version that changes are asked for since
	hold    time.Duration // for which a watch may be held
}

func parseCall(r *http.Request) call {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	hold, _ := time.ParseDuration(query.Get("hold_ms") + "ms")
	return call{isWatch: err == nil, from: from, hold: hold}
}

// callResult is what became of a call.
type callResult uint8

const (
	callResponded callResult = iota
	callHung                 // its connection is of a past epoch
	callerGone               // the caller closed its connection within the hold
)

// handle responds to a request, a watch once there is a change or its hold is over.
func (a *Agent) handle(conn net.Conn, in *bufio.Reader, r *http.Request, epoch int) callResult {
	call := parseCall(r)
	for deadline := time.Now().Add(call.hold); ; {
		serves, index := a.state(epoch)
		if !serves {
			return callHung
		}
		if !call.isWatch || index != call.from || time.Now().After(deadline) {
			return a.respond(conn, call)
		}
		if !waitForCaller(conn, in, watchPollInterval) {
			return callerGone
		}
	}
}

// waitForCaller waits for a time, or until the caller has closed its connection, and reports
// that it has not. A watch that outlives its caller would count as one that was made later.
func waitForCaller(conn net.Conn, in *bufio.Reader, wait time.Duration) (connected bool) {
	conn.SetReadDeadline(time.Now().Add(wait))
	_, err := in.Peek(1)
	if err == nil { // its next request
		time.Sleep(wait)
		return true
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// state reports whether connections of an epoch are served, and the version of the list.
func (a *Agent) state(epoch int) (serves bool, index int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults.epoch == epoch && !a.faults.down, a.list.index
}

// respond writes the list that a call asks for, after the delay that is set.
func (a *Agent) respond(conn net.Conn, call call) callResult {
	list, delay := a.response(call)
	time.Sleep(delay)
	body, err := json.Marshal(list)
	if err != nil {
		return callHung
	}
	n, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.Calls++
	a.usage.ResponseBytes += int64(n)
	a.faults.responded(time.Now())
	if err != nil {
		return callerGone
	}
	return callResponded
}

func (a *Agent) response(call call) (list discovery.EndpointList, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if call.isWatch {
		return a.list.changesSince(call.from), a.faults.responseDelay
	}
	return a.list.full(), a.faults.responseDelay
}
