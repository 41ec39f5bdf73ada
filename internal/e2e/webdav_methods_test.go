package e2e

import (
	"strings"
	"testing"

	"maddergap/internal/fakenode"
)

// setStation is the body of a PROPPATCH request that sets the dead property "station" to "k1".
const setStation = `<D:propertyupdate xmlns:D="DAV:" xmlns:z="urn:z"><D:set><D:prop><z:station>k1</z:station></D:prop></D:set></D:propertyupdate>`

// webdavMethodCases run in order, each on the state that the previous ones left.
var webdavMethodCases = []struct {
	name, method, path, body string
	status                   int
	fields                   []string
}{
	{"create collection", "MKCOL", "/feed-b/u", "", 201, nil},
	{"create existing collection", "MKCOL", "/feed-b/u", "", 405, nil},
	{"create collection without parent", "MKCOL", "/feed-b/u/x/y", "", 409, nil},
	{"create collection with body", "MKCOL", "/feed-b/u/z", "body", 415, nil},
	{"write", "PUT", "/feed-b/u/a", "one", 201, nil},
	{"write without parent", "PUT", "/feed-b/u/no/a", "one", 409, nil},
	{"write to collection", "PUT", "/feed-b/u", "one", 405, nil},
	{"write existing with If-None-Match", "PUT", "/feed-b/u/a", "two", 412, []string{"If-None-Match", "*"}},
	{"write with wrong If-Match", "PUT", "/feed-b/u/a", "two", 412, []string{"If-Match", `"nope"`}},
	{"read", "GET", "/feed-b/u/a", "", 200, nil},
	{"read range", "GET", "/feed-b/u/a", "", 206, []string{"Range", "bytes=1-1"}},
	{"read range past the end", "GET", "/feed-b/u/a", "", 416, []string{"Range", "bytes=9-"}},
	{"read missing", "GET", "/feed-b/u/none", "", 404, nil},
	{"read collection", "GET", "/feed-b/u/", "", 405, nil},
	{"list", "PROPFIND", "/feed-b/u", "", 207, []string{"Depth", "infinity"}},
	{"list with malformed body", "PROPFIND", "/feed-b/u", "<nonsense", 400, []string{"Depth", "0"}},
	{"list missing", "PROPFIND", "/feed-b/u/none", "", 404, []string{"Depth", "0"}},
	{"set property", "PROPPATCH", "/feed-b/u/a", setStation, 207, nil},
	{"copy", "COPY", "/feed-b/u/a", "", 201, []string{"Destination", "{base}/feed-b/u/b"}},
	{"copy without overwriting", "COPY", "/feed-b/u/a", "", 412, []string{"Destination", "{base}/feed-b/u/b", "Overwrite", "F"}},
	{"copy without parent", "COPY", "/feed-b/u/a", "", 409, []string{"Destination", "{base}/feed-b/u/no/b"}},
	{"copy to another placement unit", "COPY", "/feed-b/u/a", "", 502, []string{"Destination", "{base}/feed-b/v/b"}},
	{"move", "MOVE", "/feed-b/u/b", "", 204, []string{"Destination", "{base}/feed-b/u/a"}},
	{"move missing", "MOVE", "/feed-b/u/none", "", 404, []string{"Destination", "{base}/feed-b/u/c"}},
	{"unlock with unknown token", "UNLOCK", "/feed-b/u/a", "", 409, []string{"Lock-Token", "<opaquelocktoken:x>"}},
	{"delete missing", "DELETE", "/feed-b/u/none", "", 404, nil},
	{"delete volume", "DELETE", "/feed-b/", "", 403, nil},
	{"options", "OPTIONS", "/feed-b/u/a", "", 200, nil},
	{"unknown method", "PATCH", "/feed-b/u/a", "", 501, nil},
}

// Verifies the status codes of the methods of RFC 4918, for successful requests and for errors.
func TestWebDAVMethods(t *testing.T) {
	_, addrs := startNodes(t, 2, fakenode.Options{})
	client := newWebDAVClient(t, startWebDAV(t, "", addrs...))
	for _, c := range webdavMethodCases {
		client.want(c.name, c.status, c.method, c.path, c.body, c.fields...)
	}
	if resp, _ := client.do("OPTIONS", "/feed-b/u/a", ""); resp.Header.Get("DAV") != "1, 2, 3" {
		t.Errorf("DAV header %q, want \"1, 2, 3\"", resp.Header.Get("DAV"))
	}
	if _, body := client.do("PROPFIND", "/feed-b/u/a", `<D:propfind xmlns:D="DAV:" xmlns:z="urn:z"><D:prop><z:station/></D:prop></D:propfind>`, "Depth", "0"); !strings.Contains(body, "k1") {
		t.Errorf("the dead property station is missing after the move: %s", body)
	}
}
