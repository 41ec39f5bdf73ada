package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/studio-b12/gowebdav"

	"maddergap/internal/fakenode"
)

// libraryClient runs a third-party WebDAV client library and checks the result of each call.
type libraryClient struct {
	*gowebdav.Client
	t *testing.T
}

// Verifies that a third-party WebDAV client library works through the gateway, with its calls to
// create, read, list, copy, move and remove files and collections.
func TestClientLibrary(t *testing.T) {
	_, addrs := startNodes(t, 2, fakenode.Options{})
	instance := startWebDAV(t, "", addrs...)
	c := libraryClient{gowebdav.NewClient("http://"+instance.addr, "", ""), t}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c.SetTransport(transport)
	c.must("Connect", c.Connect())
	c.writeFiles()
	c.readFiles()
	c.copyAndMove()
	c.remove()
}

func (c libraryClient) must(call string, err error) {
	c.t.Helper()
	if err != nil {
		c.t.Errorf("%s: %v", call, err)
	}
}

func (c libraryClient) writeFiles() {
	c.must("Mkdir", c.Mkdir("/feed-b/station", 0o755))
	c.must("MkdirAll", c.MkdirAll("/feed-b/other/a/b", 0o755))
	c.must("Write", c.Write("/feed-b/station/one", []byte("segment one"), 0o644))
	c.must("WriteStream", c.WriteStream("/feed-b/station/two", strings.NewReader(strings.Repeat("x", 1<<20)), 0o644))
	c.must("WriteStreamWithLength", c.WriteStreamWithLength("/feed-b/station/three", strings.NewReader("abc"), 3, 0o644))
}

func (c libraryClient) readFiles() {
	content, err := c.Read("/feed-b/station/one")
	c.must("Read", err)
	if string(content) != "segment one" {
		c.t.Errorf("Read returned %q, want \"segment one\"", content)
	}
	stream, err := c.ReadStream("/feed-b/station/two")
	c.must("ReadStream", err)
	if n, _ := io.Copy(io.Discard, stream); n != 1<<20 {
		c.t.Errorf("ReadStream returned %d bytes, want 1 MiB", n)
	}
	stream.Close()
	stream, err = c.ReadStreamRange("/feed-b/station/one", 2, 3)
	c.must("ReadStreamRange", err)
	if b, _ := io.ReadAll(stream); string(b) != "gme" {
		c.t.Errorf("ReadStreamRange returned %q, want \"gme\"", b)
	}
	stream.Close()
	info, err := c.Stat("/feed-b/station/one")
	c.must("Stat", err)
	if err == nil && info.Size() != 11 {
		c.t.Errorf("Stat returned size %d, want 11", info.Size())
	}
}

func (c libraryClient) copyAndMove() {
	c.must("Copy", c.Copy("/feed-b/station/one", "/feed-b/station/four", false))
	c.must("Rename", c.Rename("/feed-b/station/three", "/feed-b/station/five", true))
	for _, name := range []string{"one", "two", "four", "five"} {
		if names := c.list("/feed-b/station"); !strings.Contains(names, name) || strings.Contains(names, "three") {
			c.t.Errorf("members of the collection: %s; want %s among them, but not three", names, name)
		}
	}
	if names := c.list("/feed-b"); !strings.Contains(names, "station") || !strings.Contains(names, "other") {
		c.t.Errorf("members of the volume: %q, want station and other", names)
	}
	if names := c.list("/"); !strings.Contains(names, "feed-a") || !strings.Contains(names, "feed-b") {
		c.t.Errorf("members of the root: %q, want feed-a and feed-b", names)
	}
}

// list returns the names of a collection's members, separated by spaces.
func (c libraryClient) list(path string) string {
	files, err := c.ReadDir(path)
	c.must("ReadDir "+path, err)
	var names []string
	for _, file := range files {
		names = append(names, file.Name())
	}
	return strings.Join(names, " ")
}

func (c libraryClient) remove() {
	c.must("Remove", c.Remove("/feed-b/station/two"))
	c.must("RemoveAll", c.RemoveAll("/feed-b/station"))
	if _, err := c.Stat("/feed-b/station/one"); !gowebdav.IsErrNotFound(err) {
		c.t.Errorf("Stat after the removal: %v, want not found", err)
	}
	if err := c.Rename("/feed-b/other/a", "/feed-b/else/a", false); err == nil {
		c.t.Error("a move to another placement unit succeeded")
	}
}
