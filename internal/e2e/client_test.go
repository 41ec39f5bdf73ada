package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// dial connects to the instance. The connection is closed at the end of the test.
func (i *testInstance) dial(dialer net.Dialer) *net.TCPConn {
	i.t.Helper()
	c, err := dialer.Dial("tcp", i.addr)
	if err != nil {
		i.t.Fatal(err)
	}
	i.t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// send connects to the instance and writes text. Reads and writes on the connection time out
// after 15 s.
func (i *testInstance) send(text string) (net.Conn, *bufio.Reader) {
	i.t.Helper()
	c := i.dial(net.Dialer{})
	c.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		i.t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// dialerFrom returns a dialer that connects from an address of the loopback range.
func dialerFrom(addr string) net.Dialer {
	return net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(addr)}, Timeout: 5 * time.Second}
}

// connectFrom connects to the instance from an address of the loopback range.
func (i *testInstance) connectFrom(addr string) (net.Conn, *bufio.Reader) {
	i.t.Helper()
	c := i.dial(dialerFrom(addr))
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

// receive reads the response to a request of the method. The test fails if there is no response
// or if its body is truncated. The status is 0 if there is no response.
func (i *testInstance) receive(r *bufio.Reader, method string) (status int, body string, header http.Header) {
	i.t.Helper()
	resp, body, err := readResponse(r, method)
	if resp == nil {
		i.t.Errorf("no response: %v", err)
		return 0, "", nil
	}
	if err != nil {
		i.t.Errorf("truncated response: %v", err)
	}
	return resp.StatusCode, body, resp.Header
}

// roundTrip sends a request on a new connection and returns the status and body of the response.
// The status is 0 if there is no response, and negated if the body is truncated.
func (i *testInstance) roundTrip(request string) (status int, body string) {
	c, err := net.Dial("tcp", i.addr)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(6 * time.Second))
	go c.Write([]byte(request))
	resp, body, err := readResponse(bufio.NewReader(c), http.MethodGet)
	switch {
	case resp == nil:
		return 0, ""
	case err != nil:
		return -resp.StatusCode, body
	}
	return resp.StatusCode, body
}

// readStatus reads a response from a connection and returns its status, or 0 if there is no
// response within 4 s.
func readStatus(c net.Conn) int {
	c.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, _, _ := readResponse(bufio.NewReader(c), http.MethodGet)
	if resp == nil {
		return 0
	}
	return resp.StatusCode
}

// readResponse reads a response and its body. The response is nil if its header could not be
// read. If the body is truncated, it returns the response, the body so far and an error.
func readResponse(r *bufio.Reader, method string) (*http.Response, string, error) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func putRequest(path, body string) string {
	return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }
