package webdav

import (
	"encoding/xml"
	"strings"
	"testing"

	"maddergap/internal/config"
	"maddergap/internal/route"
)

// newTable returns a table with two volumes, feed-a with five shards and feed-b with one.
func newTable(t testing.TB) *route.Table {
	c, err := config.Parse("t", []byte("listen 127.0.0.1:0\nnodes n\nclass read effect safe aim 100ms deadline 1s\n"+
		"plan p rate 1\nvolume feed-a plan p shards 0-4\nvolume feed-b plan p shards 5\nroute * class read\n"))
	if err != nil {
		t.Fatal(err)
	}
	return route.NewTable(c, nil)
}

// Verifies the decisions for methods on the root, a volume and a placement unit, and for COPY and MOVE
// with each kind of destination.
func TestDecide(t *testing.T) {
	table := newTable(t)
	for _, c := range []struct {
		method, path, depth, dest string
		handling                  Handling
		status                    int
	}{
		{"GET", "/feed-a/s/x", "", "", Forward, 0},
		{"OPTIONS", "/", "", "", Options, 0},
		{"POST", "/feed-a/s/x", "", "", Respond, 405},
		{"BREW", "/feed-a/s/x", "", "", Respond, 501},
		{"GET", "/feed-a/", "", "", Respond, 405},
		{"PROPFIND", "/", "1", "", ListRoot, 0},
		{"PROPFIND", "/feed-a", "1", "", MergeListings, 0},
		{"PROPFIND", "/feed-a", "infinity", "", Respond, 403},
		{"PROPFIND", "/feed-a", "", "", Respond, 403},
		{"PROPFIND", "/feed-a/s", "infinity", "", Forward, 0},
		{"MKCOL", "/feed-a/", "", "", Respond, 405},
		{"DELETE", "/feed-a/", "", "", Respond, 403},
		{"LOCK", "/", "", "", Respond, 403},
		{"MOVE", "/feed-a/s/x", "", "", Respond, 400},
		{"MOVE", "/feed-a/s/x", "", "http://h:1/feed-a/s/y", Forward, 0},
		{"MOVE", "/feed-a/s/x", "", "/feed-a/s/y", Forward, 0},
		{"MOVE", "/feed-a/s/x", "", "http://other/feed-a/s/y", Respond, 502},
		{"COPY", "/feed-a/s/x", "", "http://h:1/feed-a/t/x", Respond, 502},
		{"COPY", "/feed-a/s/x", "", "http://h:1/feed-b/s/x", Respond, 502},
		{"COPY", "/feed-a/s/x", "", "http://h:1/nope/s/x", Respond, 409},
		{"COPY", "/feed-a/s/x", "", "http://h:1/feed-a/", Respond, 403},
		{"COPY", "/feed-a/s/x", "", "http://h:1/feed-a/s/../x", Respond, 400},
	} {
		location, err := table.Locate(c.path)
		if err != nil {
			t.Fatal(err)
		}
		if got := Decide(table, c.method, location, c.depth, c.dest, "h:1"); got.Handling != c.handling || got.Status != c.status {
			t.Errorf("%+v: got %+v", c, got)
		}
	}
}

const listing1 = `<?xml version="1.0"?><D:multistatus xmlns:D="DAV:" xmlns:e="urn:e"><D:response><D:href>/feed-a/</D:href>` +
	`<D:propstat><D:prop><e:x/></D:prop><D:status>HTTP/1.1 200 OK</D:status></D:propstat></D:response>` +
	`<D:response><D:href>/feed-a/one</D:href><D:status>HTTP/1.1 200 OK</D:status></D:response></D:multistatus>`
const listing2 = `<multistatus xmlns="DAV:"><response><href>/feed-a/</href><status>HTTP/1.1 200 OK</status></response>` +
	`<response xmlns="DAV:"><href>/feed-a/t&amp;wo</href><status>HTTP/1.1 200 OK</status></response></multistatus>`

// Verifies that merging the listings of two shards, which declare namespaces in different ways, yields the
// collection once and the members of both.
func TestMergeMultistatus(t *testing.T) {
	merged, err := MergeMultistatus([][]byte{[]byte(listing1), []byte(listing2)}, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	var m struct {
		XMLName   xml.Name `xml:"DAV: multistatus"`
		Responses []struct {
			Href string    `xml:"DAV: href"`
			X    *struct{} `xml:"DAV: propstat>prop>x"`
		} `xml:"DAV: response"`
	}
	if err := xml.Unmarshal(merged, &m); err != nil {
		t.Fatalf("%v in %s", err, merged)
	}
	var hrefs []string
	for _, r := range m.Responses {
		hrefs = append(hrefs, r.Href)
	}
	if strings.Join(hrefs, " ") != "/feed-a/ /feed-a/one /feed-a/t&wo" {
		t.Errorf("got the members %v in %s", hrefs, merged)
	}
	// A truncated or foreign body, or a result over the limit, is an error and never a shorter listing.
	for _, bad := range []string{listing1[:len(listing1)-20], "", "<html/>", listing1 + listing1, `<!DOCTYPE x><D:multistatus xmlns:D="DAV:"/>`} {
		if _, err := MergeMultistatus([][]byte{[]byte(listing2), []byte(bad)}, 1<<20); err != ErrMalformedListing {
			t.Errorf("%.40q: got error %v, want ErrMalformedListing", bad, err)
		}
	}
	if _, err := MergeMultistatus([][]byte{[]byte(listing1)}, 100); err != ErrListingTooLarge {
		t.Error(err)
	}
}

// Verifies that the root lists its volumes with the requested properties, and with status 404 for unknown
// properties, and that malformed PROPFIND bodies are rejected.
func TestListVolumes(t *testing.T) {
	p, err := ParsePropfind([]byte(`<propfind xmlns="DAV:"><prop><resourcetype/><z:q xmlns:z="urn:z"/></prop></propfind>`))
	if err != nil {
		t.Fatal(err)
	}
	listing := string(ListVolumes(p, []string{"feed-a", "feed-b"}, "1"))
	if strings.Count(listing, "<D:response>") != 3 || strings.Count(listing, "404 Not Found") != 3 || xml.Unmarshal([]byte(listing), new(struct{})) != nil {
		t.Error(listing)
	}
	for _, bad := range []string{"<x/>", "<propfind/>", `<propfind xmlns="DAV:"/>`, `<propfind xmlns="DAV:"><allprop/><propname/></propfind>`, "<a",
		`<!DOCTYPE a [<!ENTITY b "c">]><propfind xmlns="DAV:"><allprop/></propfind>`} {
		if _, err := ParsePropfind([]byte(bad)); err != ErrMalformedXML {
			t.Errorf("%s: got error %v, want ErrMalformedXML", bad, err)
		}
	}
}

// FuzzMerge checks that a listing that MergeMultistatus returned can be merged again.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(listing1))
	f.Add([]byte(listing2))
	f.Fuzz(func(t *testing.T, p []byte) {
		if merged, err := MergeMultistatus([][]byte{p}, 1<<20); err == nil {
			if _, err := MergeMultistatus([][]byte{merged}, 1<<20); err != nil {
				t.Fatalf("%q is merged to %q, which cannot be merged", p, merged)
			}
		}
	})
}

// FuzzPropfind checks that no body makes ParsePropfind or ListVolumes panic.
func FuzzPropfind(f *testing.F) {
	f.Add([]byte(`<propfind xmlns="DAV:"><prop><resourcetype/></prop></propfind>`))
	f.Fuzz(func(t *testing.T, p []byte) {
		if propfind, err := ParsePropfind(p); err == nil {
			ListVolumes(propfind, []string{"a"}, "1")
		}
	})
}

// FuzzDestination checks that no Destination makes Decide panic or respond with a success status.
func FuzzDestination(f *testing.F) {
	f.Add("http://h:1/feed-a/s/y")
	table := newTable(f)
	location, _ := table.Locate("/feed-a/s/x")
	f.Fuzz(func(t *testing.T, dest string) {
		if got := Decide(table, "MOVE", location, "", dest, "h:1"); got.Handling == Respond && got.Status < 400 {
			t.Fatal(got)
		}
	})
}
