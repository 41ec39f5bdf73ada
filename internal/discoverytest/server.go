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
	// idleConnTimeout is the time after which a connection without a request is closed.
	idleConnTimeout = 10 * time.Second
	// watchPollInterval is the time between two checks of a watch for a change.
	watchPollInterval = 3 * time.Millisecond
)

// Listen makes the agent listen on a free port and returns the address (host:port). If the agent
// already listens on another address, that listener is closed; its connections stay open.
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

// Close closes the agent's listener and connections and waits for their goroutines.
func (a *Agent) Close() {
	a.mu.Lock()
	a.faults.hangConns() // makes the calls in handle return
	if a.listener != nil {
		a.listener.Close()
	}
	for conn := range a.conns {
		conn.Close()
	}
	a.mu.Unlock()
	a.serving.Wait()
}

// accept serves each connection of a listener in a goroutine of its own until the listener is
// closed.
func (a *Agent) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		a.serving.Go(func() { a.serve(conn) })
	}
}

// serve responds to the calls on a connection. Once a call got no response because of a fault, the
// connection hangs: further requests are read and discarded.
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

// addConn registers a connection and returns the epoch in which it is served. hung is set if the
// agent is down, so that the connection hangs from the start.
func (a *Agent) addConn(conn net.Conn) (epoch int, hung bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[conn] = true
	return a.faults.epoch, a.faults.down
}

// removeConn unregisters a connection that has ended.
func (a *Agent) removeConn(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, conn)
}

// call holds the parameters of a request for the list.
type call struct {
	isWatch bool          // set for a request for changes, not set for the full list
	from    int64         // version since which changes are requested; valid for a watch
	hold    time.Duration // longest time to hold a watch without changes
}

// parseCall returns the parameters of a request. A request without a valid version is for the full
// list.
func parseCall(r *http.Request) call {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	hold, _ := time.ParseDuration(query.Get("hold_ms") + "ms")
	return call{isWatch: err == nil, from: from, hold: hold}
}

// callResult is the result of a call.
type callResult uint8

const (
	callResponded callResult = iota
	callHung                 // no response: the agent is down or the epoch of the connection is over
	callerGone               // the caller closed its connection before the response was written
)

// handle responds to a request. It holds a watch until there are changes or the hold time is over.
func (a *Agent) handle(conn net.Conn, in *bufio.Reader, r *http.Request, epoch int) callResult {
	call := parseCall(r)
	for deadline := time.Now().Add(call.hold); ; {
		served, index := a.connState(epoch)
		if !served {
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

// waitForCaller waits for a time, or until the caller closes its connection. It reports whether the
// connection is still open. Without this check, a watch whose caller has left would be answered and
// counted in Usage at the end of its hold, as if the caller still used the agent.
func waitForCaller(conn net.Conn, in *bufio.Reader, wait time.Duration) (connected bool) {
	conn.SetReadDeadline(time.Now().Add(wait))
	_, err := in.Peek(1)
	if err == nil { // the caller has sent its next request
		time.Sleep(wait)
		return true
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// connState reports whether connections accepted in an epoch are served, and returns the version of
// the list.
func (a *Agent) connState(epoch int) (served bool, index int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults.epoch == epoch && !a.faults.down, a.list.index
}

// respond writes the list that a call requests, after the response delay, and counts the response.
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
	a.faults.recordResponse(time.Now())
	if err != nil {
		return callerGone
	}
	return callResponded
}

// response returns the list that a call requests and the delay of the response.
func (a *Agent) response(call call) (list discovery.EndpointList, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if call.isWatch {
		return a.list.changesSince(call.from), a.faults.responseDelay
	}
	return a.list.full(), a.faults.responseDelay
}
