package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"maddergap/internal/config"
)

// newTable returns a table with two volumes, feed-a with five shards and feed-b with one, and four
// classes.
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

// Verifies that each kind of path is located, that ambiguous paths are rejected, and that percent
// escapes do not change the location of a unit.
func TestLocate(t *testing.T) {
	table := newTable(t)
	for path, want := range map[string]Kind{"/": Root, "/feed-a": VolumeRoot, "/feed-a/": VolumeRoot,
		"/feed%2Da/": VolumeRoot, "/feed-a/x": PlacementUnit, "/feed-a/x/": PlacementUnit, "/feed-a/x/y": PlacementUnit} {
		if p, err := table.Locate(path); err != nil || p.Kind != want {
			t.Errorf("%s: got location %+v, error %v", path, p, err)
		}
	}
	for path, want := range map[string]error{"/nope/x": ErrUnknownVolume, "/feed-a//x": ErrMalformedPath, "/feed-a/../feed-b/x": ErrMalformedPath,
		"/feed-a/%2e%2e/x": ErrMalformedPath, "/feed-a/a%2fb": ErrMalformedPath, "/feed-a/%zz": ErrMalformedPath, "/feed-a/%4": ErrMalformedPath, "/feed-a/.": ErrMalformedPath,
		"//": ErrMalformedPath, "/feed-a/a%00": ErrMalformedPath, "/feed-a/a\\b": ErrMalformedPath} {
		if _, err := table.Locate(path); err != want {
			t.Errorf("%s: got error %v, want %v", path, err, want)
		}
	}
	a, _ := table.Locate("/feed-a/st%61tion/one")
	b, _ := table.Locate("/feed-a/station")
	if a.PlacementUnit != "station" || a.Shard != b.Shard {
		t.Errorf("an escape changes the location: %+v and %+v", a, b)
	}
	for target, want := range map[string]string{"http://h:1/a/b?q": "/a/b", "HTTP://h": "/", "/a?b": "/a"} {
		if p, _, err := SplitTarget(target); err != nil || p != want {
			t.Errorf("%s: got path %q, error %v", target, p, err)
		}
	}
	for _, target := range []string{"a/b", "ftp://h/x", "http:///x", "*"} {
		if _, _, err := SplitTarget(target); err == nil {
			t.Errorf("%s is accepted", target)
		}
	}
}

// Verifies that removing a shard moves only the units that were on it, and that these were about an even
// share of all units.
func TestRemovedShardMovesOnlyItsUnits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.SliceOfNDistinct(rapid.IntRange(0, 200), 2, 12, rapid.ID).Draw(t, "shards")
		remaining := shards[:len(shards)-1]
		removed := shards[len(shards)-1]
		moved := 0
		for i := range 400 {
			unit := fmt.Sprint("station-", i)
			before, after := selectShard(unit, shards), selectShard(unit, remaining)
			if before != after && before != removed {
				t.Fatalf("%s moved from shard %d to %d although %d was removed", unit, before, after, removed)
			}
			if before != after {
				moved++
			}
		}
		if ratio := float64(moved) / 400 * float64(len(shards)); ratio < 0.3 || ratio > 2 {
			t.Fatalf("one shard of %d had %.2f times its even share, want 0.3 to 2", len(shards), ratio)
		}
	})
}

// Verifies class, units, timeout and ordering key of reads, ranges, writes and ordered requests.
func TestClassify(t *testing.T) {
	table := newTable(t)
	at := func(path string) Location { p, _ := table.Locate(path); return p }
	table.LearnSize("/feed-a/big/x", 5<<20)
	table.LearnSize("/feed-a/s/x", 150<<10)
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
		if got := table.Classify(c.header); got.Class != c.class || got.Units != c.units || got.Timeout != c.time || got.OrderingKey != c.key {
			t.Errorf("%s: got %+v, want %+v", name, got, c)
		}
	}
	if got := table.Classify(RequestHeader{Method: "PUT", Location: at("/feed-a/s/y"), ContentLength: 10 << 20}); got.Timeout != 1980*time.Millisecond+10*time.Second {
		t.Errorf("a body of 10 MiB at 1 MiB/s: got timeout %v, want 11.98s", got.Timeout)
	}
}

// Verifies that the size cache does not grow when many sizes are learned, and that it contains the last
// one.
func TestSizeCacheIsBounded(t *testing.T) {
	table := newTable(t)
	for i := range 10000 {
		table.LearnSize(fmt.Sprint("/feed-a/s/", i), int64(i))
	}
	if n := len(table.sizes.entries); n != 64 {
		t.Errorf("got %d entries, want 64", n)
	}
	if size, ok := table.sizes.get("/feed-a/s/9999"); !ok || size != 9999 {
		t.Errorf("last learned size: got %d, %v, want 9999", size, ok)
	}
}

// FuzzLocate checks that a path has the same location after it was decoded.
func FuzzLocate(f *testing.F) {
	f.Add("/feed-a/x/%41")
	table := newTable(f)
	f.Fuzz(func(t *testing.T, target string) {
		path, _, err := SplitTarget(target)
		if err != nil {
			return
		}
		p, err := table.Locate(path)
		if err != nil || p.Kind != PlacementUnit {
			return
		}
		if decoded, err := DecodePath(p.Path); err == nil && decoded == p.Path { // the path contains no escape
			if q, err := table.Locate(p.Path); err != nil || q.Shard != p.Shard || q.PlacementUnit != p.PlacementUnit {
				t.Fatalf("%q: got location %+v, and %+v, error %v, when decoded", target, p, q, err)
			}
		}
	})
}
