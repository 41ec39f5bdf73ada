package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// baseURLPlaceholder is replaced by the instance's URL in the header fields that a webdavClient sends.
const baseURLPlaceholder = "{base}"

// webdavClient sends WebDAV requests to an instance over kept-alive connections.
type webdavClient struct {
	t         *testing.T
	baseURL   string
	transport *http.Transport
}

func newWebDAVClient(t *testing.T, instance *webdavInstance) *webdavClient {
	c := &webdavClient{t: t, baseURL: "http://" + instance.addr, transport: &http.Transport{}}
	t.Cleanup(c.transport.CloseIdleConnections)
	return c
}

// do sends a request and returns the response and its body. fields are alternating names and values of
// header fields.
func (c *webdavClient) do(method, path, body string, fields ...string) (*http.Response, string) {
	c.t.Helper()
	request, err := http.NewRequest(method, c.baseURL+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	for i := 0; i < len(fields); i += 2 {
		request.Header.Set(fields[i], strings.ReplaceAll(fields[i+1], baseURLPlaceholder, c.baseURL))
	}
	resp, err := c.transport.RoundTrip(request)
	if err != nil {
		c.t.Fatalf("%s %s: %v", method, path, err)
	}
	responseBody, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	return resp, string(responseBody)
}

// want sends a request and checks the status of the response.
func (c *webdavClient) want(name string, status int, method, path, body string, fields ...string) *http.Response {
	c.t.Helper()
	resp, responseBody := c.do(method, path, body, fields...)
	if resp.StatusCode != status {
		c.t.Errorf("%s: %s %s %v: status %d, body %.100q; want %d", name, method, path, fields, resp.StatusCode, responseBody, status)
	}
	return resp
}
