package lanes

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type request struct {
	Slot[*request, int, string]
	owner string
	kind  int
	tag   int
}

func byTag(a, b *request) bool { return a.tag < b.tag || a.tag == b.tag && a.Seq < b.Seq }

func byAim(a, b *request) bool { return a.Aim < b.Aim || a.Aim == b.Aim && a.Seq < b.Seq }

// In any history every lane tells what a look at all its requests would tell, each
// ready request stands in one lane of its owner and, unless that is apart, in one
// shared; those let go come in their order; and nothing is lost.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New[*request, int, string](byTag, byAim)
		var held, ready, asleep []*request
		apart := map[string]bool{}
		now := Time(1)
		without := func(list []*request, r *request) []*request {
			return slices.DeleteFunc(slices.Clone(list), func(o *request) bool { return o == r })
		}
		unready := func(r *request) {
			ready, asleep = without(ready, r), without(asleep, r)
			if !slices.ContainsFunc(ready, func(o *request) bool { return o.owner == r.owner }) {
				delete(apart, r.owner)
			}
		}
		pick := func(list []*request) *request {
			if len(list) == 0 {
				return nil
			}
			return list[rapid.IntRange(0, len(list)-1).Draw(t, "which")]
		}
		for seq := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += Time(rapid.IntRange(0, 3).Draw(t, "passes"))
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); what {
			default: // a new one
				r := &request{owner: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner"), kind: rapid.IntRange(0, 2).Draw(t, "kind"), tag: rapid.IntRange(0, 5).Draw(t, "tag")}
				r.Seq = seq
				r.Aim = now + Time(rapid.IntRange(0, 8).Draw(t, "aim"))
				r.Due = r.Aim + Time(rapid.IntRange(0, 8).Draw(t, "due"))
				r.By = r.Aim + Time(rapid.IntRange(0, 8).Draw(t, "by"))
				p.Hold(r, seq)
				held = append(held, r)
				if what == 0 {
					p.Sleep(r, now+5)
					asleep = append(asleep, r)
				} else {
					p.Ready(r, r.owner, r.kind)
					ready = append(ready, r)
				}
			case 5:
				if r := pick(held); r != nil {
					p.Drop(r)
					held = without(held, r)
					unready(r)
				}
			case 6:
				if r := pick(ready); r != nil {
					p.Unplace(r)
					unready(r)
				}
			case 7:
				if r := pick(ready); r != nil && !apart[r.owner] {
					p.SetApart(r.owner)
					apart[r.owner] = true
				}
			case 8:
				for r, ok := p.Woken(now); ok; r, ok = p.Woken(now) {
					if !slices.Contains(asleep, r) {
						t.Fatal("woke one that did not sleep")
					}
					unready(r)
					p.Ready(r, r.owner, r.kind)
					ready = append(ready, r)
				}
				p.Sweep()
			case 9:
				stays := rapid.IntRange(0, 2).Draw(t, "stays")
				out := p.Until(now, func(r *request) Time {
					if r.kind == stays && r.By < r.Due {
						return r.Due
					}
					return 0
				})
				for i, r := range out {
					if r.By >= now || r.kind == stays && r.By < r.Due && r.Due >= now || i > 0 && out[i-1].Seq > r.Seq {
						t.Fatal("let go too early, or out of order")
					}
					held = without(held, r)
					unready(r)
				}
				for _, r := range held {
					if r.By < now {
						t.Fatal("kept too long")
					}
				}
			}
			if p.Len() != len(held) || len(held) > 0 && p.First() != slices.MinFunc(held, func(a, b *request) int { return int(a.By - b.By) }).By {
				t.Fatalf("%d held, first due %v; want %d", p.Len(), p.First(), len(held))
			}
			check := func(what string, l *Lane[*request, int], belongs func(r *request) bool) {
				for order, better := range []func(a, b *request) bool{byTag, byAim} {
					for _, from := range []Time{0, now, now + 4} {
						var inTime, alive *request
						for _, r := range ready {
							if r.kind != l.Kind || !belongs(r) {
								continue
							}
							if r.Aim >= from && (inTime == nil || better(r, inTime)) {
								inTime = r
							}
							if r.Due >= from && (alive == nil || better(r, alive)) {
								alive = r
							}
						}
						if r, _ := l.InTime(order, from); r != inTime {
							t.Fatalf("%s lane %d, order %d: in time is %v, want %v", what, l.Kind, order, r, inTime)
						}
						if r, _ := l.Alive(order, from); r != alive {
							t.Fatalf("%s lane %d, order %d: alive is %v, want %v", what, l.Kind, order, r, alive)
						}
					}
				}
			}
			kinds := map[int]int{}
			for _, l := range p.Shared {
				kinds[l.Kind]++
				check("shared", l, func(r *request) bool { return !apart[r.owner] })
			}
			for _, r := range ready {
				if kinds[r.kind] != 1 && !apart[r.owner] {
					t.Fatalf("kind %d has %d shared lanes", r.kind, kinds[r.kind])
				}
				for _, l := range p.Own(r.owner) {
					check("own", l, func(o *request) bool { return o.owner == r.owner })
				}
				if *r.Kind() != r.kind || !r.Placed() || !r.Held() {
					t.Fatal("a ready request does not know where it stands")
				}
			}
			if len(p.Apart) != len(apart) {
				t.Fatalf("%d owners apart, want %v", len(p.Apart), apart)
			}
		}
	})
}

// Kinds and owners that come and go leave no lanes behind without bound.
func TestBounds(t *testing.T) {
	p := New[*request, int, string](byTag, byAim)
	for i := range 10_000 {
		r := &request{owner: "v", kind: i}
		r.Seq, r.Aim, r.Due = i, Time(i), Time(i)+time.Second
		r.By = r.Due
		p.Hold(r, i)
		p.Ready(r, r.owner, r.kind)
		p.Drop(r)
	}
	if len(p.Shared) > few || len(p.Own("v")) > few || len(p.old) > 4*few || len(p.kinds) > few {
		t.Errorf("%d shared lanes, %d of one owner, %d kept for use, %d kinds", len(p.Shared), len(p.Own("v")), len(p.old), len(p.kinds))
	}
	p.Sweep()
	if len(p.sides) != 0 {
		t.Errorf("%d owners that have nothing", len(p.sides))
	}
}
