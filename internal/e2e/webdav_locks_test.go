package e2e

import (
	"strings"
	"testing"

	"maddergap/internal/fakenode"
)

// lockInfo returns the body of a LOCK request for a write lock. scope is "shared" or "exclusive".
func lockInfo(scope string) string {
	return `<D:lockinfo xmlns:D="DAV:"><D:lockscope><D:` + scope + `/></D:lockscope><D:locktype><D:write/></D:locktype></D:lockinfo>`
}

// Verifies that a file with an exclusive lock can be written only with the token of that lock. The cases
// run in order, each on the state that the previous one left.
func TestExclusiveLock(t *testing.T) {
	_, addrs := startNodes(t, 2, fakenode.Options{})
	client := newWebDAVClient(t, startWebDAV(t, "", addrs...))
	client.want("create collection", 201, "MKCOL", "/feed-b/u", "")
	client.want("create file", 201, "PUT", "/feed-b/u/a", "one")
	const exclusive = `<D:lockinfo xmlns:D="DAV:"><D:lockscope><D:exclusive/></D:lockscope><D:locktype><D:write/></D:locktype><D:owner>o</D:owner></D:lockinfo>`
	const emptyPrefix = `<D:propfind xmlns:D="DAV:"><D:prop><bar:p xmlns:bar=""/></D:prop></D:propfind>`
	resp, _ := client.do("LOCK", "/feed-b/u/a", exclusive, "Timeout", "Second-100")
	token := resp.Header.Get("Lock-Token")
	if resp.StatusCode != 200 || !strings.HasPrefix(token, "<urn:uuid:") {
		t.Fatalf("LOCK: status %d, Lock-Token %q; want 200 and a urn:uuid token", resp.StatusCode, token)
	}
	for _, c := range []struct {
		name, method, body string
		status             int
		fields             []string
	}{
		{"write without token", "PUT", "locked", 423, nil},
		{"delete without token", "DELETE", "locked", 423, nil},
		{"second lock", "LOCK", exclusive, 423, nil},
		{"token of another lock", "PUT", "locked", 423, []string{"If", "(<opaquelocktoken:wrong>)"}},
		{"wrong entity tag", "PUT", "locked", 412, []string{"If", "(" + token + ` ["bogus"])`}},
		{"wrong entity tag in both lists", "PUT", "locked", 412, []string{"If", "(" + token + ` ["bogus"]) (Not <DAV:no-lock> ["bogus"])`}},
		{"negated token", "PUT", "locked", 412, []string{"If", "(Not " + token + ")"}},
		{"malformed condition", "PUT", "locked", 400, []string{"If", "(" + token}},
		{"token", "PUT", "locked", 204, []string{"If", "(" + token + ")"}},
		{"token in the second list", "PUT", "locked", 204, []string{"If", "(" + token + ` ["bogus"]) (Not <DAV:no-lock> ` + token + ")"}},
		{"token tagged with the resource", "PUT", "locked", 204, []string{"If", "<{base}/feed-b/u/a> (" + token + ")"}},
		{"list with empty namespace", "PROPFIND", emptyPrefix, 400, nil},
		{"unlock", "UNLOCK", "locked", 204, []string{"Lock-Token", token}},
		{"unlock again", "UNLOCK", "locked", 409, []string{"Lock-Token", token}},
		{"write after unlock", "PUT", "locked", 204, nil},
	} {
		client.want(c.name, c.status, c.method, "/feed-b/u/a", c.body, c.fields...)
	}
}

// Verifies that a file can have several shared locks, which exclude an exclusive lock, and that each
// holder writes with its own token. A LOCK of a missing file creates the file.
func TestSharedLocks(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	client := newWebDAVClient(t, startWebDAV(t, "", addrs[0], addrs[0]))
	first := client.want("shared lock of a missing file", 201, "LOCK", "/feed-a/new", lockInfo("shared")).Header.Get("Lock-Token")
	second := client.want("second shared lock", 200, "LOCK", "/feed-a/new", lockInfo("shared")).Header.Get("Lock-Token")
	client.want("exclusive lock beside them", 423, "LOCK", "/feed-a/new", lockInfo("exclusive"))
	for _, token := range []string{first, second} {
		client.want("write of a holder", 204, "PUT", "/feed-a/new", "x", "If", "("+token+")")
	}
	client.want("write without token", 423, "PUT", "/feed-a/new", "x")
	client.want("first holder unlocks", 204, "UNLOCK", "/feed-a/new", "", "Lock-Token", first)
	client.want("second holder refreshes", 200, "LOCK", "/feed-a/new", "", "If", "("+second+")", "Timeout", "Second-60")
	client.want("write beside the second holder", 423, "PUT", "/feed-a/new", "x")
}

// Verifies that a lock of infinite depth on a collection covers its members, and that it is removed when
// the collection is deleted.
func TestCollectionLock(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	client := newWebDAVClient(t, startWebDAV(t, "", addrs[0], addrs[0]))
	client.do("MKCOL", "/feed-a/c", "")
	token := client.want("lock of the collection", 200, "LOCK", "/feed-a/c", lockInfo("exclusive"), "Depth", "infinity").Header.Get("Lock-Token")
	client.want("write of a member", 423, "PUT", "/feed-a/c/x", "x")
	client.want("write of a member with token", 201, "PUT", "/feed-a/c/x", "x", "If", "</feed-a/c> ("+token+")")
	client.want("delete of the collection", 423, "DELETE", "/feed-a/c", "")
	client.want("delete of the collection with token", 204, "DELETE", "/feed-a/c", "", "If", "("+token+")")
	client.do("MKCOL", "/feed-a/c", "")
	client.want("write of a member of the new collection", 201, "PUT", "/feed-a/c/x", "x")
}
