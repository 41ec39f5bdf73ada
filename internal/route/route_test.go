package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"maddergap/internal/config"
)

// newTable routes two volumes, feed-a with five shards and feed-b with one, to four classes.
func newTable(t testing.TB) *Table {
	t.Helper()
	c, err := config.Parse("t", []byte(`listen 127.0.0.1:0
nodes n
class read effect safe aim 100ms deadline 1s
class write effect unsafe aim 100ms deadline 2s
class export effect safe aim 1s deadline 5s
class log effect keyed window 5s aim 1s deadline 5s ordered yes
plan p rate 1
volume feed-a plan p shards 0-4
volume feed-b plan p shards 5
route GET ranged yes class export
route GET over 1m class export
route PUT path /feed-a/log class log
route PUT class write
route * class read
units bytes 100k mean 3
answer-margin 20ms
sizes 64
`))
	if err != nil {
		t.Fatal(err)
	}
	return NewTable(c, nil)
}

// Each kind of path is located, and a path with two readings is rejected. An escape does
// not change where a unit is.
func TestLocate(t *testing.T) {
	tab := newTable(t)
	for path, want := range map[string]Kind{"/": Root, "/feed-a": VolumeRoot, "/feed-a/": VolumeRoot,
		"/feed%2Da/": VolumeRoot, "/feed-a/x": Unit, "/feed-a/x/": Unit, "/feed-a/x/y": Unit} {
		if p, err := tab.Locate(path); err != nil || p.Kind != want {
			t.Errorf("%s: %+v %v", path, p, err)
		}
	}
	for path, want := range map[string]error{"/nope/x": ErrUnknownVolume, "/feed-a//x": ErrMalformedPath, "/feed-a/../feed-b/x": ErrMalformedPath,
		"/feed-a/%2e%2e/x": ErrMalformedPath, "/feed-a/a%2fb": ErrMalformedPath, "/feed-a/%zz": ErrMalformedPath, "/feed-a/%4": ErrMalformedPath, "/feed-a/.": ErrMalformedPath,
		"//": ErrMalformedPath, "/feed-a/a%00": ErrMalformedPath, "/feed-a/a\\b": ErrMalformedPath} {
		if _, err := tab.Locate(path); err != want {
			t.Errorf("%s: %v, want %v", path, err, want)
		}
	}
	a, _ := tab.Locate("/feed-a/st%61tion/one")
	b, _ := tab.Locate("/feed-a/station")
	if a.Unit != "station" || a.Shard != b.Shard {
		t.Errorf("an escape changes the location: %+v %+v", a, b)
	}
	for target, want := range map[string]string{"http://h:1/a/b?q": "/a/b", "HTTP://h": "/", "/a?b": "/a"} {
		if p, _, err := SplitTarget(target); err != nil || p != want {
			t.Errorf("%s: %q %v", target, p, err)
		}
	}
	for _, target := range []string{"a/b", "ftp://h/x", "http:///x", "*"} {
		if _, _, err := SplitTarget(target); err == nil {
			t.Errorf("%s is accepted", target)
		}
	}
}

// A shard is removed from a random set. Only the units that were on it move, and they are
// about its even part of all.
func TestRemovedShardMovesOnlyItsUnits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.SliceOfNDistinct(rapid.IntRange(0, 200), 2, 12, rapid.ID).Draw(t, "shards")
		remaining := shards[:len(shards)-1]
		removed := shards[len(shards)-1]
		moved := 0
		for i := range 400 {
			u := fmt.Sprint("station-", i)
			a, b := selectShard(u, shards), selectShard(u, remaining)
			if a != b && a != removed {
				t.Fatalf("%s moved from %d to %d while %d was removed", u, a, b, removed)
			}
			if a != b {
				moved++
			}
		}
		if ratio := float64(moved) / 400 * float64(len(shards)); ratio < 0.3 || ratio > 2 {
			t.Fatalf("one shard of %d has %.2f times its even part", len(shards), ratio)
		}
	})
}

// Class, units, timeout and ordering key of reads, ranges, writes and ordered requests.
func TestClassify(t *testing.T) {
	tab := newTable(t)
	at := func(path string) Location { p, _ := tab.Locate(path); return p }
	tab.LearnSize("/feed-a/big/x", 5<<20)
	tab.LearnSize("/feed-a/s/x", 150<<10)
	for name, c := range map[string]struct {
		header RequestHeader
		class  int
		units  float64
		time   time.Duration
		key    string
	}{
		"unknown read":  {RequestHeader{Method: "GET", Location: at("/feed-a/u/x")}, 0, 3, 980 * time.Millisecond, ""},
		"known read":    {RequestHeader{Method: "GET", Location: at("/feed-a/s/x")}, 0, 2, 980 * time.Millisecond, ""},
		"large read":    {RequestHeader{Method: "GET", Location: at("/feed-a/big/x")}, 2, 52, 4980 * time.Millisecond, ""},
		"head of large": {RequestHeader{Method: "HEAD", Location: at("/feed-a/big/x")}, 0, 1, 980 * time.Millisecond, ""},
		"ranged":        {RequestHeader{Method: "GET", Location: at("/feed-a/big/x"), Range: "bytes=0-99"}, 2, 1, 4980 * time.Millisecond, ""},
		"range past it": {RequestHeader{Method: "GET", Location: at("/feed-a/s/x"), Range: "bytes=0-99999999"}, 2, 2, 4980 * time.Millisecond, ""},
		"write":         {RequestHeader{Method: "PUT", Location: at("/feed-a/s/y"), ContentLength: 100<<10 + 1}, 1, 2, 1980 * time.Millisecond, ""},
		"ordered":       {RequestHeader{Method: "PUT", Location: at("/feed-a/log/y"), ContentLength: 1}, 3, 1, 4980 * time.Millisecond, "/feed-a/log/y"},
		"ordered, key":  {RequestHeader{Method: "PUT", Location: at("/feed-a/log/y"), ContentLength: 1, IdempotencyKey: "k"}, 3, 1, 4980 * time.Millisecond, "k"},
		"shorter wait":  {RequestHeader{Method: "PUT", Location: at("/feed-a/s/y"), Prefer: "respond-async, wait=1"}, 1, 1, 980 * time.Millisecond, ""},
		"longer wait":   {RequestHeader{Method: "PUT", Location: at("/feed-a/s/y"), Prefer: "wait=100"}, 1, 1, 1980 * time.Millisecond, ""},
	} {
		if j := tab.Classify(c.header); j.Class != c.class || j.Units != c.units || j.Timeout != c.time || j.OrderingKey != c.key {
			t.Errorf("%s: %+v, want %+v", name, j, c)
		}
	}
	if j := tab.Classify(RequestHeader{Method: "PUT", Location: at("/feed-a/s/y"), ContentLength: 10 << 20}); j.Timeout != 1980*time.Millisecond+10*time.Second {
		t.Errorf("a body of 10 MiB at 1 MiB/s has %v", j.Timeout)
	}
}

// Ten thousand sizes are learned. The cache stays as large as it was made, and the last
// size is in it.
func TestSizeCacheIsBounded(t *testing.T) {
	tab := newTable(t)
	for i := range 10000 {
		tab.LearnSize(fmt.Sprint("/feed-a/s/", i), int64(i))
	}
	if n := len(tab.sizes.entries); n != 64 {
		t.Errorf("%d entries", n)
	}
	if size, ok := tab.sizes.get("/feed-a/s/9999"); !ok || size != 9999 {
		t.Errorf("the last is %d, %v", size, ok)
	}
}

// FuzzLocate checks that a decoded path has the location of the path it was decoded from.
func FuzzLocate(f *testing.F) {
	f.Add("/feed-a/x/%41")
	tab := newTable(f)
	f.Fuzz(func(t *testing.T, target string) {
		path, _, err := SplitTarget(target)
		if err != nil {
			return
		}
		p, err := tab.Locate(path)
		if err != nil || p.Kind != Unit {
			return
		}
		if decoded, err := DecodePath(p.Path); err == nil && decoded == p.Path { // no escape is left
			if q, err := tab.Locate(p.Path); err != nil || q.Shard != p.Shard || q.Unit != p.Unit {
				t.Fatalf("%q: %+v, decoded: %+v %v", target, p, q, err)
			}
		}
	})
}
