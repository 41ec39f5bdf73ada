package fakenode

import (
	"net/http"
	"regexp"
	"strings"
	"testing"
)

const (
	exclusiveLock = `<D:lockinfo xmlns:D="DAV:"><D:lockscope><D:exclusive/></D:lockscope><D:locktype><D:write/></D:locktype><D:owner>me</D:owner></D:lockinfo>`
	sharedLock    = `<D:lockinfo xmlns:D="DAV:"><D:lockscope><D:shared/></D:lockscope><D:locktype><D:write/></D:locktype></D:lockinfo>`
)

// exchange is a request and the expected status of its response. "TOKEN" and "ETAG" in header
// values are replaced by the last lock token and entity tag received in a response.
type exchange struct {
	method, path, body string
	headers            []string // names and values alternately
	want               int      // status
}

// runExchanges sends requests to a new node in order and checks the statuses of the responses. The
// value of a Destination header is a path, to which the address of the node is added.
func runExchanges(t *testing.T, exchanges []exchange) {
	node := startTestNode(t, Options{})
	token, etag := "", ""
	for i, x := range exchanges {
		var headers []string
		for _, header := range x.headers {
			header = strings.ReplaceAll(header, "TOKEN", token)
			headers = append(headers, strings.ReplaceAll(header, "ETAG", etag))
		}
		for j := 1; j < len(headers); j += 2 {
			if headers[j-1] == "Destination" {
				headers[j] = "http://" + node.Addr() + headers[j]
			}
		}
		response, text, err := send(node, x.method, x.path, x.body, headers...)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if response.StatusCode != x.want {
			t.Errorf("request %d, %s %s, headers %q: status %d, body %q; want status %d",
				i, x.method, x.path, headers, response.StatusCode, text, x.want)
		}
		if got := response.Header.Get("Lock-Token"); got != "" {
			token = strings.Trim(got, "<>")
		}
		if got := response.Header.Get("Etag"); got != "" {
			etag = got
		}
	}
}

// destinationHeader returns the headers of a COPY or MOVE to a path.
func destinationHeader(path string) []string { return []string{"Destination", path} }

// Verifies the statuses of writes with If-Match and If-None-Match, writes below a missing parent,
// writes to collections and partial writes. Clients of the gateway rely on them when they retry a
// write.
func TestWritePreconditions(t *testing.T) {
	runExchanges(t, []exchange{
		{"PUT", "/v/o", "1", nil, 201},
		{"PUT", "/v/o", "2", nil, 204},
		{"PUT", "/v/o", "3", []string{"If-None-Match", "*"}, 412},
		{"PUT", "/v/new", "3", []string{"If-Match", "*"}, 412},
		{"GET", "/v/o", "", nil, 200},
		{"PUT", "/v/o", "4", []string{"If-Match", `"other", ETAG`}, 204},
		{"PUT", "/v/o", "5", []string{"If-Match", `"other"`}, 412},
		{"PUT", "/v/o", "6", []string{"Content-Range", "bytes 0-0/1"}, 400},
		{"PUT", "/v/missing/o", "7", nil, 409},
		{"PUT", "/v/", "8", nil, 405},
		{"MKCOL", "/v/c", "", nil, 201},
		{"PUT", "/v/c", "9", nil, 405},
		{"COPY", "/v/o", "", destinationHeader("/v/c/o"), 201},
		{"COPY", "/v/o", "", destinationHeader("/v/missing/o"), 409},
		{"COPY", "/v/none", "", destinationHeader("/v/p"), 404},
		{"MOVE", "/v/o", "", destinationHeader("/v/c/o"), 204},
		{"GET", "/v/o", "", nil, 404},
		{"PROPFIND", "/v/c", `<D:propfind xmlns:D="DAV:"><D:allprop/></D:propfind>`, nil, 207},
		{"PROPFIND", "/v/c", `<D:propfind xmlns:D="DAV:" xmlns:E=""><D:allprop/></D:propfind>`, nil, 400},
	})
}

// Verifies that an exclusive lock on a collection blocks changes of it and of its descendants by
// requests without the token, until it is removed.
func TestExclusiveLock(t *testing.T) {
	runExchanges(t, []exchange{
		{"MKCOL", "/v/c", "", nil, 201},
		{"LOCK", "/v/c", exclusiveLock, nil, 200},
		{"PUT", "/v/c/o", "1", nil, 423},
		{"PUT", "/v/c/o", "1", []string{"If", "</v/c> (<TOKEN>)"}, 201},
		{"PUT", "/v/c/o", "2", []string{"If", "(<urn:uuid:other>)"}, 423},
		{"LOCK", "/v/c/o", exclusiveLock, nil, 423},
		{"DELETE", "/v/c", "", nil, 423},
		{"COPY", "/v/c/o", "", destinationHeader("/v/c/p"), 423},
		{"COPY", "/v/c/o", "", destinationHeader("/v/p"), 201},
		{"LOCK", "/v/c", "", []string{"If", "(<TOKEN>)", "Timeout", "Second-60"}, 200},
		{"LOCK", "/v/c", "", []string{"If", "(<urn:uuid:other>)"}, 412},
		{"UNLOCK", "/v/c", "", nil, 400},
		{"UNLOCK", "/v/p", "", []string{"Lock-Token", "<TOKEN>"}, 409},
		{"UNLOCK", "/v/c", "", []string{"Lock-Token", "<TOKEN>"}, 204},
		{"PUT", "/v/c/o", "3", nil, 204},
	})
}

// Verifies that a resource may have several shared locks but no exclusive one in addition, and that
// the token of one shared lock is enough for a write.
func TestSharedLocks(t *testing.T) {
	runExchanges(t, []exchange{
		{"LOCK", "/v/o", sharedLock, []string{"Depth", "0"}, 201},
		{"LOCK", "/v/o", sharedLock, []string{"Depth", "0"}, 200},
		{"LOCK", "/v/o", exclusiveLock, nil, 423},
		{"PUT", "/v/o", "1", nil, 423},
		{"PUT", "/v/o", "1", []string{"If", "(<TOKEN>)"}, 204},
		{"DELETE", "/v/o", "", []string{"If", "(<TOKEN>)"}, 204},
		{"PUT", "/v/o", "2", nil, 201}, // DELETE has removed the locks
	})
}

// Verifies the statuses for If headers that hold, that do not hold and that are malformed.
func TestIfHeader(t *testing.T) {
	runExchanges(t, []exchange{
		{"PUT", "/v/o", "1", nil, 201},
		{"GET", "/v/o", "", nil, 200},
		{"PROPPATCH", "/v/o", "", []string{"If", "([ETAG])"}, 400}, // the header holds; the empty body is malformed
		{"DELETE", "/v/o", "", []string{"If", `(["other"])`}, 412},
		{"DELETE", "/v/o", "", []string{"If", "(Not [ETAG])"}, 412},
		{"DELETE", "/v/o", "", []string{"If", `([ETAG] <urn:uuid:other>)`}, 412},
		{"DELETE", "/v/o", "", []string{"If", "()"}, 400},
		{"DELETE", "/v/o", "", []string{"If", "(Not )"}, 400},
		{"DELETE", "/v/o", "", []string{"If", "(<open)"}, 400},
		{"DELETE", "/v/o", "", []string{"If", "([ETAG]"}, 400},
		{"DELETE", "/v/o", "", []string{"If", "</v/o>"}, 400},
		{"DELETE", "/v/o", "", []string{"If", "([ETAG]) </v/o> ([ETAG])"}, 400},
		{"DELETE", "/v/o", "", []string{"If", `(["other"]) (Not <urn:uuid:other> [ETAG])`}, 204},
	})
}

// Verifies that malformed LOCK requests are rejected, and checks the response to a valid one: its
// status, lock token, timeout and XML body.
func TestLockRequest(t *testing.T) {
	runExchanges(t, []exchange{
		{"LOCK", "/v/o", "<no>", nil, 400},
		{"LOCK", "/v/o", strings.Replace(exclusiveLock, "<D:exclusive/>", "", 1), nil, 400},
		{"LOCK", "/v/o", exclusiveLock, []string{"Depth", "1"}, 400},
		{"LOCK", "/v/missing/o", exclusiveLock, nil, 409},
	})
	node := startTestNode(t, Options{})
	response, text, err := send(node, "LOCK", "/v/a b", exclusiveLock, "Timeout", "Infinite, Second-90")
	if err != nil || response.StatusCode != http.StatusCreated {
		t.Fatal(response, text, err)
	}
	token := strings.Trim(response.Header.Get("Lock-Token"), "<>")
	if !regexp.MustCompile(`^urn:uuid:[0-9a-f]{8}-[0-9a-f]{4}-4[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$`).MatchString(token) {
		t.Errorf("lock token %q, want the URN of a random UUID", token)
	}
	want := `<?xml version="1.0" encoding="utf-8"?>` + "\n" + `<D:prop xmlns:D="DAV:"><D:lockdiscovery><D:activelock>` +
		`<D:locktype><D:write/></D:locktype><D:lockscope><D:exclusive/></D:lockscope><D:depth>infinity</D:depth>` +
		`<D:owner>me</D:owner><D:timeout>Second-90</D:timeout><D:locktoken><D:href>` + token + `</D:href></D:locktoken>` +
		`<D:lockroot><D:href>/v/a%20b</D:href></D:lockroot></D:activelock></D:lockdiscovery></D:prop>`
	if text != want {
		t.Errorf("got body %s, want %s", text, want)
	}
}
