package discovery

import (
	"testing"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// A head that knows a list from before asks for what changed since, where lists are asked for,
// and has the whole list with the answer. What cannot be used makes it ask for the whole list.
func TestResume(t *testing.T) {
	known := []nodelist.Node{{Name: "a", Addr: "10.0.0.1:1"}, {Name: "b", Addr: "10.0.0.2:1"}}
	begin := func(ask bool) *rig {
		c := New("10.0.0.1:1", []string{"z0", "z1"}, ask, 1)
		c.ResumeFrom(41, known)
		return rigOf(t, c)
	}
	const changes, whole = "GET /api/targets?from=41&hold_ms=0 HTTP/1.1", "GET /api/targets HTTP/1.1"

	r := begin(true)
	if r.asked != changes {
		t.Fatalf("asked %q first", r.asked)
	}
	r.answer(list(43, false, entry("b", "draining"), entry("c", "up")), 99)
	news, ok := r.c.TakeUpdate()
	states := map[string]scheduler.NodeState{}
	for _, n := range news.Nodes {
		states[n.Name] = n.State
	}
	if !ok || !news.Full || len(states) != 3 || states["b"] != scheduler.Draining || states["a"] != scheduler.Serving {
		t.Errorf("%v %+v", ok, news)
	}

	r = begin(true)
	r.answer(list(41, false), 99)
	if news, ok := r.c.TakeUpdate(); !ok || !news.Full || len(news.Nodes) != 2 {
		t.Errorf("nothing changed: %v %+v", ok, news)
	}

	r = begin(true)
	r.answer(list(50, true, entry("z", "up")), 99)
	if news, ok := r.c.TakeUpdate(); !ok || !news.Full || len(news.Nodes) != 1 {
		t.Errorf("a whole list: %v %+v", ok, news)
	}

	r = begin(true)
	r.answer(list(7, false), 99) // its versions are others
	if r.pass(asked.pauseMax); r.asked != whole {
		t.Errorf("then asked %q", r.asked)
	}
	if r = begin(false); r.asked != whole {
		t.Errorf("an agent is asked %q first", r.asked)
	}
}
