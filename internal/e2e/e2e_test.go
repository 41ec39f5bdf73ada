package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/studio-b12/gowebdav"

	"maddergap/internal/fakenode"
)

// A client library of others' does all it can through the head.
func TestClientLibrary(t *testing.T) {
	_, addrs := startNodes(t, 2, fakenode.Options{})
	instance := startWebDAV(t, "", addrs...)
	c := gowebdav.NewClient("http://"+instance.addr, "", "")
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	c.SetTransport(tr)
	must := func(what string, err error) {
		t.Helper()
		if err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	must("Connect", c.Connect())
	must("Mkdir", c.Mkdir("/feed-b/station", 0o755))
	must("MkdirAll", c.MkdirAll("/feed-b/other/a/b", 0o755))
	must("Write", c.Write("/feed-b/station/one", []byte("segment one"), 0o644))
	must("WriteStream", c.WriteStream("/feed-b/station/two", strings.NewReader(strings.Repeat("x", 1<<20)), 0o644))
	must("WriteStreamWithLength", c.WriteStreamWithLength("/feed-b/station/three", strings.NewReader("abc"), 3, 0o644))
	got, err := c.Read("/feed-b/station/one")
	must("Read", err)
	if string(got) != "segment one" {
		t.Errorf("read %q", got)
	}
	rc, err := c.ReadStream("/feed-b/station/two")
	must("ReadStream", err)
	if n, _ := io.Copy(io.Discard, rc); n != 1<<20 {
		t.Errorf("%d bytes streamed", n)
	}
	rc.Close()
	rc, err = c.ReadStreamRange("/feed-b/station/one", 2, 3)
	must("ReadStreamRange", err)
	if b, _ := io.ReadAll(rc); string(b) != "gme" {
		t.Errorf("range %q", b)
	}
	rc.Close()
	fi, err := c.Stat("/feed-b/station/one")
	must("Stat", err)
	if err == nil && fi.Size() != 11 {
		t.Errorf("size %d", fi.Size())
	}
	names := func(dir string) string {
		list, err := c.ReadDir(dir)
		must("ReadDir "+dir, err)
		var out []string
		for _, f := range list {
			out = append(out, f.Name())
		}
		return strings.Join(out, " ")
	}
	must("Copy", c.Copy("/feed-b/station/one", "/feed-b/station/four", false))
	must("Rename", c.Rename("/feed-b/station/three", "/feed-b/station/five", true))
	for _, n := range []string{"one", "two", "four", "five"} {
		if l := names("/feed-b/station"); !strings.Contains(l, n) || strings.Contains(l, "three") {
			t.Errorf("station holds %s, want %s and not three", l, n)
		}
	}
	if l := names("/feed-b"); !strings.Contains(l, "station") || !strings.Contains(l, "other") {
		t.Errorf("the volume holds %q", l)
	}
	if l := names("/"); !strings.Contains(l, "feed-a") || !strings.Contains(l, "feed-b") {
		t.Errorf("the root holds %q", l)
	}
	must("Remove", c.Remove("/feed-b/station/two"))
	must("RemoveAll", c.RemoveAll("/feed-b/station"))
	if _, err := c.Stat("/feed-b/station/one"); !gowebdav.IsErrNotFound(err) {
		t.Errorf("after removal: %v", err)
	}
	if err := c.Rename("/feed-b/other/a", "/feed-b/else/a", false); err == nil {
		t.Error("a move across placement units went well")
	}
}

// RFC 4918, method by method, through the head.
func TestClass2(t *testing.T) {
	_, addrs := startNodes(t, 2, fakenode.Options{})
	instance := startWebDAV(t, "", addrs...)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	do := func(method, path, body string, fields ...string) (*http.Response, string) {
		t.Helper()
		r, err := http.NewRequest(method, "http://"+instance.addr+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i < len(fields); i += 2 {
			r.Header.Set(fields[i], strings.ReplaceAll(fields[i+1], "HEAD", "http://"+instance.addr))
		}
		resp, err := tr.RoundTrip(r)
		if err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		return resp, string(b)
	}
	const lockInfo = `<D:lockinfo xmlns:D="DAV:"><D:lockscope><D:exclusive/></D:lockscope><D:locktype><D:write/></D:locktype><D:owner>o</D:owner></D:lockinfo>`
	for _, c := range []struct {
		method, path, body string
		status             int
		fields             []string
	}{
		{"MKCOL", "/feed-b/u", "", 201, nil},
		{"MKCOL", "/feed-b/u", "", 405, nil},
		{"MKCOL", "/feed-b/u/x/y", "", 409, nil},
		{"MKCOL", "/feed-b/u/z", "body", 415, nil},
		{"PUT", "/feed-b/u/a", "one", 201, nil},
		{"PUT", "/feed-b/u/no/a", "one", 409, nil},
		{"PUT", "/feed-b/u", "one", 405, nil},
		{"PUT", "/feed-b/u/a", "two", 412, []string{"If-None-Match", "*"}},
		{"PUT", "/feed-b/u/a", "two", 412, []string{"If-Match", `"nope"`}},
		{"GET", "/feed-b/u/a", "", 200, nil},
		{"GET", "/feed-b/u/a", "", 206, []string{"Range", "bytes=1-1"}},
		{"GET", "/feed-b/u/a", "", 416, []string{"Range", "bytes=9-"}},
		{"GET", "/feed-b/u/none", "", 404, nil},
		{"GET", "/feed-b/u/", "", 405, nil},
		{"PROPFIND", "/feed-b/u", "", 207, []string{"Depth", "infinity"}},
		{"PROPFIND", "/feed-b/u", "<nonsense", 400, []string{"Depth", "0"}},
		{"PROPFIND", "/feed-b/u/none", "", 404, []string{"Depth", "0"}},
		{"PROPPATCH", "/feed-b/u/a", `<D:propertyupdate xmlns:D="DAV:" xmlns:z="urn:z"><D:set><D:prop><z:station>k1</z:station></D:prop></D:set></D:propertyupdate>`, 207, nil},
		{"COPY", "/feed-b/u/a", "", 201, []string{"Destination", "HEAD/feed-b/u/b"}},
		{"COPY", "/feed-b/u/a", "", 412, []string{"Destination", "HEAD/feed-b/u/b", "Overwrite", "F"}},
		{"COPY", "/feed-b/u/a", "", 409, []string{"Destination", "HEAD/feed-b/u/no/b"}},
		{"COPY", "/feed-b/u/a", "", 502, []string{"Destination", "HEAD/feed-b/v/b"}},
		{"MOVE", "/feed-b/u/b", "", 204, []string{"Destination", "HEAD/feed-b/u/a"}},
		{"MOVE", "/feed-b/u/none", "", 404, []string{"Destination", "HEAD/feed-b/u/c"}},
		{"UNLOCK", "/feed-b/u/a", "", 409, []string{"Lock-Token", "<opaquelocktoken:x>"}},
		{"DELETE", "/feed-b/u/none", "", 404, nil},
		{"DELETE", "/feed-b/", "", 403, nil},
		{"OPTIONS", "/feed-b/u/a", "", 200, nil},
		{"PATCH", "/feed-b/u/a", "", 501, nil},
	} {
		if resp, body := do(c.method, c.path, c.body, c.fields...); resp.StatusCode != c.status {
			t.Errorf("%s %s %v: %d %.100q, want %d", c.method, c.path, c.fields, resp.StatusCode, body, c.status)
		}
	}
	if resp, _ := do("OPTIONS", "/feed-b/u/a", ""); resp.Header.Get("DAV") != "1, 2, 3" {
		t.Errorf("DAV: %q", resp.Header.Get("DAV"))
	}
	if _, body := do("PROPFIND", "/feed-b/u/a", `<D:propfind xmlns:D="DAV:" xmlns:z="urn:z"><D:prop><z:station/></D:prop></D:propfind>`, "Depth", "0"); !strings.Contains(body, "k1") {
		t.Errorf("the dead property is lost: %s", body)
	}
	resp, _ := do("LOCK", "/feed-b/u/a", lockInfo, "Timeout", "Second-100")
	token := resp.Header.Get("Lock-Token")
	if resp.StatusCode != 200 || !strings.HasPrefix(token, "<urn:uuid:") {
		t.Fatalf("LOCK: %d %q", resp.StatusCode, token)
	}
	for _, c := range []struct {
		method string
		status int
		fields []string
	}{
		{"PUT", 423, nil},
		{"DELETE", 423, nil},
		{"LOCK", 423, nil},
		{"PUT", 423, []string{"If", "(<opaquelocktoken:wrong>)"}}, // it is another's
		{"PUT", 412, []string{"If", "(" + token + ` ["bogus"])`}},
		{"PUT", 412, []string{"If", "(" + token + ` ["bogus"]) (Not <DAV:no-lock> ["bogus"])`}},
		{"PUT", 412, []string{"If", "(Not " + token + ")"}},
		{"PUT", 400, []string{"If", "(" + token}},
		{"PUT", 204, []string{"If", "(" + token + ")"}},
		{"PUT", 204, []string{"If", "(" + token + ` ["bogus"]) (Not <DAV:no-lock> ` + token + ")"}},
		{"PUT", 204, []string{"If", "<HEAD/feed-b/u/a> (" + token + ")"}},
		{"PROPFIND", 400, nil},
		{"UNLOCK", 204, []string{"Lock-Token", token}},
		{"UNLOCK", 409, []string{"Lock-Token", token}},
		{"PUT", 204, nil},
	} {
		body := "locked"
		if c.method == "LOCK" {
			body = lockInfo
		} else if c.method == "PROPFIND" {
			body = `<D:propfind xmlns:D="DAV:"><D:prop><bar:p xmlns:bar=""/></D:prop></D:propfind>`
		}
		if resp, _ := do(c.method, "/feed-b/u/a", body, c.fields...); resp.StatusCode != c.status {
			t.Errorf("%s %v under a lock: %d, want %d", c.method, c.fields, resp.StatusCode, c.status)
		}
	}
}

// Shared locks stand beside each other and keep an exclusive one out; each holder
// writes by its own token; a lock on a collection covers what is below it, and a
// lock of what is not there yet makes it.
func TestSharedLocks(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	do := func(method, path, body string, fields ...string) (int, string) {
		t.Helper()
		r, _ := http.NewRequest(method, "http://"+instance.addr+path, strings.NewReader(body))
		for i := 0; i < len(fields); i += 2 {
			r.Header.Set(fields[i], fields[i+1])
		}
		resp, err := tr.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Lock-Token")
	}
	info := func(scope string) string {
		return `<D:lockinfo xmlns:D="DAV:"><D:lockscope><D:` + scope + `/></D:lockscope><D:locktype><D:write/></D:locktype></D:lockinfo>`
	}
	want := func(what string, got, status int) {
		t.Helper()
		if got != status {
			t.Errorf("%s: %d, want %d", what, got, status)
		}
	}
	status, one := do("LOCK", "/feed-a/new", info("shared"))
	want("a shared lock of what is not there", status, 201)
	status, two := do("LOCK", "/feed-a/new", info("shared"))
	want("a second one", status, 200)
	status, _ = do("LOCK", "/feed-a/new", info("exclusive"))
	want("an exclusive one beside them", status, 423)
	for _, token := range []string{one, two} {
		status, _ = do("PUT", "/feed-a/new", "x", "If", "("+token+")")
		want("a holder's write", status, 204)
	}
	status, _ = do("PUT", "/feed-a/new", "x")
	want("a write of nobody's", status, 423)
	status, _ = do("UNLOCK", "/feed-a/new", "", "Lock-Token", one)
	want("the first holder leaves", status, 204)
	status, _ = do("LOCK", "/feed-a/new", "", "If", "("+two+")", "Timeout", "Second-60")
	want("a refresh", status, 200)
	status, _ = do("PUT", "/feed-a/new", "x")
	want("a write beside the second holder", status, 423)
	do("MKCOL", "/feed-a/c", "")
	status, deep := do("LOCK", "/feed-a/c", info("exclusive"), "Depth", "infinity")
	want("a lock of a collection", status, 200)
	status, _ = do("PUT", "/feed-a/c/x", "x")
	want("a member of it", status, 423)
	status, _ = do("PUT", "/feed-a/c/x", "x", "If", "</feed-a/c> ("+deep+")")
	want("a member, by its token", status, 201)
	status, _ = do("DELETE", "/feed-a/c", "")
	want("the collection", status, 423)
	status, _ = do("DELETE", "/feed-a/c", "", "If", "("+deep+")")
	want("the collection, by its token", status, 204)
	do("MKCOL", "/feed-a/c", "")
	status, _ = do("PUT", "/feed-a/c/x", "x")
	want("its lock went with it", status, 201)
}

// A node takes a segment-write and never answers; once well it is used again.
func TestSilentNode(t *testing.T) {
	nodes, addrs := startNodes(t, 1, fakenode.Options{Script: []fakenode.Step{{Fault: fakenode.Silent, From: 0, To: 2 * time.Second}}})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	began := time.Now()
	c, r := instance.send(putRequest("/feed-a/s", "segment"))
	status, body, h := instance.receive(r, "PUT")
	if took := time.Since(began); status != 504 || took > 1500*time.Millisecond || h.Get("Retry-After") != "" || body == "" {
		t.Errorf("%d %q after %v", status, body, took)
	}
	c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if n, _ := r.Read(make([]byte, 1)); n > 0 {
		t.Error("a second answer")
	}
	ran := 0
	for _, e := range nodes[0].Entries() {
		if e.Path == "/feed-a/s" {
			ran++
		}
	}
	if ran != 1 {
		t.Errorf("the segment came to the node %d times", ran)
	}
	for until := time.Now().Add(8 * time.Second); ; {
		_, r := instance.send(putRequest("/feed-a/t", "segment"))
		status, _, _ := instance.receive(r, "PUT")
		if status == 201 || status == 204 { // an earlier try may have run unheard
			break
		}
		t.Log(time.Since(began), status)
		if time.Now().After(until) {
			t.Fatal("the node, well again, is not used")
		}
	}
}

// A client gives up in the middle of a body: no node ever runs half of it.
func TestHalfBodyNeverRuns(t *testing.T) {
	nodes, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "body hold 16k rate 1m\n", addrs[0], addrs[0])
	c, _ := instance.send(putRequest("/feed-a/s", strings.Repeat("x", 1<<20))[:100<<10])
	time.Sleep(100 * time.Millisecond)
	c.Close()
	_, r := instance.send(getRequest("/feed-a/s"))
	if status, _, _ := instance.receive(r, "GET"); status != 404 {
		t.Errorf("half a body is there: %d", status)
	}
	for _, e := range nodes[0].Entries() {
		if e.Method == "PUT" && e.ExecutedAt != 0 {
			t.Errorf("half a body ran: %+v", e)
		}
	}
}

// A client gives up in the middle of an answer; the window's slots come back.
func TestClientLeavesAnswer(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send(putRequest("/feed-a/big", strings.Repeat("x", 8<<20)))
	instance.receive(r, "PUT")
	for range 20 {
		c, r := instance.send(getRequest("/feed-a/big"))
		r.ReadByte()
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	_, r = instance.send(getRequest("/feed-a/big"))
	if status, body, _ := instance.receive(r, "GET"); status != 200 || len(body) != 8<<20 {
		t.Errorf("%d with %d bytes after others left", status, len(body))
	}
}

// A node that answers before it reads the body, with more body to come than
// socket buffers hold.
func TestAnswerBeforeBody(t *testing.T) {
	addr := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 423 Locked\r\nContent-Length: 6\r\n\r\nlocked")
			io.Copy(io.Discard, r)
		}
	})
	instance := startWebDAV(t, "body hold 16k rate 1m\n", addr, addr)
	c, r := instance.send("PUT /feed-a/s HTTP/1.1\r\nHost: h\r\nContent-Length: 50000000\r\n\r\n")
	go func() {
		for range 100 {
			if _, err := c.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	if status, body, _ := instance.receive(r, "PUT"); status != 423 || body != "locked" {
		t.Errorf("%d %q", status, body)
	}
}

// Resets in the middle of an answer: the client can tell that it is not whole.
func TestResetInAnswer(t *testing.T) {
	addr := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			time.Sleep(50 * time.Millisecond)
			c.SetLinger(0)
		}
	})
	instance := startWebDAV(t, "", addr, addr)
	_, r := instance.send(getRequest("/feed-a/s"))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("half an answer %q was taken for whole", b)
	}
}

// A kept connection closes as the next request goes out: safe ones are served
// all the same, an unsafe one is sent at most once.
func TestKeptConnectionCloses(t *testing.T) {
	var mu sync.Mutex
	puts := map[string]int{}
	addr := startRawNode(t, func(c *net.TCPConn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			if req.Method == "PUT" {
				mu.Lock()
				puts[req.URL.Path]++
				mu.Unlock()
			}
			if n == 1 { // the second request of a connection finds it closed
				c.SetLinger(0)
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	instance := startWebDAV(t, "", addr, addr)
	for i := range 10 {
		_, r := instance.send(getRequest("/feed-a/s"))
		if status, _, _ := instance.receive(r, "GET"); status != 200 {
			t.Errorf("read %d: %d", i, status)
		}
	}
	for i := range 10 {
		path := fmt.Sprint("/feed-a/", i)
		_, r := instance.send(putRequest(path, "x"))
		status, _, _ := instance.receive(r, "PUT")
		mu.Lock()
		if n := puts[path]; n > 1 || (status == 503 && n > 0) {
			t.Errorf("%s came %d times and was answered %d", path, n, status)
		}
		mu.Unlock()
	}
}

// SIGTERM's path: listeners close, what was taken is answered, then the end.
func TestStopUnderWay(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{UnitTime: 300 * time.Millisecond, Cores: 4, QueueLimit: 10})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	type result struct {
		status int
		close  string
	}
	results := make(chan result, 2)
	for i := range 2 {
		_, r := instance.send(putRequest(fmt.Sprint("/feed-a/", i), "segment"))
		go func() {
			status, _, h := instance.receive(r, "PUT")
			results <- result{status, h.Get("Connection")}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	if err := instance.stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
	for range 2 {
		if r := <-results; r.status != 201 {
			t.Errorf("a request under way got %d", r.status)
		}
	}
	if c, err := net.Dial("tcp", instance.addr); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}

// A broken node list leaves the last good one in force; a good one is followed.
func TestNodeListFollowed(t *testing.T) {
	_, addrs := startNodes(t, 2, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	_, r := instance.send(putRequest("/feed-a/s", "first"))
	instance.receive(r, "PUT")
	file := instance.nodeListFile()
	if err := os.WriteFile(file, []byte("node n0 nowhere\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the log names the mistake", func() bool { return strings.Contains(instance.log.String(), "nodes.list:1") })
	_, r = instance.send(getRequest("/feed-a/s"))
	if status, body, _ := instance.receive(r, "GET"); status != 200 || body != "first" {
		t.Errorf("%d %q under a broken list", status, body)
	}
	instance.setNodes(addrs[1], addrs[1])
	eventually(t, "the new node is used", func() bool {
		_, r := instance.send(getRequest("/feed-a/s"))
		status, _, _ := instance.receive(r, "GET")
		return status == 404
	})
}

// Reload is all or nothing.
func TestReload(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, "", addrs[0], addrs[0])
	file := instance.configFile()
	for text, want := range map[string]string{webdavConfig + "haeds 3\n": "unknown directive", webdavConfig + "heads 3\n": "change with a restart only"} {
		os.WriteFile(file, []byte(text), 0o644)
		instance.daemon.Reload()
		eventually(t, want, func() bool { return strings.Contains(instance.log.String(), want) })
	}
	os.WriteFile(file, []byte(strings.Replace(webdavConfig, "volume feed-a", "volume feed-c plan standard shards 0\nvolume feed-a", 1)), 0o644)
	instance.daemon.Reload()
	eventually(t, "the new volume is served", func() bool {
		_, r := instance.send(putRequest("/feed-c/s", "x"))
		status, _, _ := instance.receive(r, "PUT")
		return status == 201
	})
}
