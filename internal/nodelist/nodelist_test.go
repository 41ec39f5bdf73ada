package nodelist

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"maddergap/scheduler"
)

func TestFormatThenParse(t *testing.T) {
	want := []Node{{Name: "n1", Addr: "127.0.0.1:1", Zone: 1, Shard: 2, State: scheduler.Draining},
		{Name: "n2", Addr: "127.0.0.1:2", Shard: 3, Started: time.UnixMilli(1700000000123)}}
	got, err := Parse("l", Format(want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, error %v", got, err)
	}
}

// Verifies that Parse rejects a list with a mistake and reports its line and cause.
func TestParseMistakes(t *testing.T) {
	const line = "node n1 127.0.0.1:1 zone 0 shard 0 state serving\n"
	for text, want := range map[string]string{
		"":                               "l: lists no node",
		line + line:                      "l:2: node n1 is already in line 1",
		"nod n1 127.0.0.1:1":             "l:1: unknown directive",
		"node n1 here shard 0":           "l:1: \"here\" is not an address",
		"node n1 127.0.0.1:1 zone 0":     "l:1: shard is missing",
		line[:len(line)-5]:               "l:1: state is \"ser\"",
		line + "node n2 127.0.0.1:1 sha": "l:2: unknown keyword \"sha\"",
		"node n1 127.0.0.1:1 shard 0 shard 1 state gone":        "l:1: shard is given twice",
		"node n1 127.0.0.1:1 shard -1 state gone":               "l:1: shard is \"-1\"",
		"node n1 127.0.0.1:1 shard 1 state gone started soon":   "l:1: started is \"soon\"",
		"node n1 127.0.0.1:1 shard 1 state gone started 1 more": "l:1: unknown keyword \"more\"",
	} {
		if _, err := Parse("l", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %s", text, err, want)
		}
	}
}

// FuzzParse verifies that the formatted text of each list that Parse accepts is accepted again, with the
// same number of nodes.
func FuzzParse(f *testing.F) {
	f.Add([]byte("node n1 127.0.0.1:1 zone 0 shard 0 state serving started 1.5\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		nodes, err := Parse("l", p)
		if err != nil {
			return
		}
		if reread, err := Parse("l", Format(nodes)); err != nil || len(reread) != len(nodes) {
			t.Fatalf("reparsing %q: error %v, or another number of nodes", Format(nodes), err)
		}
	})
}
