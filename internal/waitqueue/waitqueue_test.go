package waitqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type request struct {
	Item[*request, int, string]
	owner   string
	profile int
	tag     int
}

func byTag(a, b *request) bool { return a.tag < b.tag || a.tag == b.tag && a.Sequence < b.Sequence }

func byAim(a, b *request) bool {
	return a.LatencyDeadline < b.LatencyDeadline || a.LatencyDeadline == b.LatencyDeadline && a.Sequence < b.Sequence
}

// In any history every subqueue tells what a look at all its requests would tell, each
// ready request stands in one subqueue of its owner and, unless that is isolated, in one
// shared; those let go come in their order; and nothing is lost.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New[*request, int, string](byTag, byAim)
		var held, ready, deferred []*request
		isolated := map[string]bool{}
		now := Time(1)
		without := func(list []*request, r *request) []*request {
			return slices.DeleteFunc(slices.Clone(list), func(o *request) bool { return o == r })
		}
		unready := func(r *request) {
			ready, deferred = without(ready, r), without(deferred, r)
			if !slices.ContainsFunc(ready, func(o *request) bool { return o.owner == r.owner }) {
				delete(isolated, r.owner)
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
				r := &request{owner: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner"), profile: rapid.IntRange(0, 2).Draw(t, "profile"), tag: rapid.IntRange(0, 5).Draw(t, "tag")}
				r.Sequence = seq
				r.LatencyDeadline = now + Time(rapid.IntRange(0, 8).Draw(t, "aim"))
				r.Deadline = r.LatencyDeadline + Time(rapid.IntRange(0, 8).Draw(t, "due"))
				r.ExpiresAt = r.LatencyDeadline + Time(rapid.IntRange(0, 8).Draw(t, "by"))
				p.Add(r, seq)
				held = append(held, r)
				if what == 0 {
					p.Defer(r, now+5)
					deferred = append(deferred, r)
				} else {
					p.MakeReady(r, r.owner, r.profile)
					ready = append(ready, r)
				}
			case 5:
				if r := pick(held); r != nil {
					p.Remove(r)
					held = without(held, r)
					unready(r)
				}
			case 6:
				if r := pick(ready); r != nil {
					p.Unplace(r)
					unready(r)
				}
			case 7:
				if r := pick(ready); r != nil && !isolated[r.owner] {
					p.Isolate(r.owner)
					isolated[r.owner] = true
				}
			case 8:
				for r, ok := p.PopDeferred(now); ok; r, ok = p.PopDeferred(now) {
					if !slices.Contains(deferred, r) {
						t.Fatal("returned one that was not deferred")
					}
					unready(r)
					p.MakeReady(r, r.owner, r.profile)
					ready = append(ready, r)
				}
				p.Sweep()
			case 9:
				stays := rapid.IntRange(0, 2).Draw(t, "stays")
				out := p.RemoveExpired(now, func(r *request) Time {
					if r.profile == stays && r.ExpiresAt < r.Deadline {
						return r.Deadline
					}
					return 0
				})
				for i, r := range out {
					if r.ExpiresAt >= now || r.profile == stays && r.ExpiresAt < r.Deadline && r.Deadline >= now || i > 0 && out[i-1].Sequence > r.Sequence {
						t.Fatal("let go too early, or out of order")
					}
					held = without(held, r)
					unready(r)
				}
				for _, r := range held {
					if r.ExpiresAt < now {
						t.Fatal("kept too long")
					}
				}
			}
			if p.Len() != len(held) || len(held) > 0 && p.NextExpiry() != slices.MinFunc(held, func(a, b *request) int { return int(a.ExpiresAt - b.ExpiresAt) }).ExpiresAt {
				t.Fatalf("%d held, first expiry %v; want %d", p.Len(), p.NextExpiry(), len(held))
			}
			check := func(what string, l *Subqueue[*request, int], belongs func(r *request) bool) {
				for order, better := range []func(a, b *request) bool{byTag, byAim} {
					for _, from := range []Time{0, now, now + 4} {
						var inTime, alive *request
						for _, r := range ready {
							if r.profile != l.Profile || !belongs(r) {
								continue
							}
							if r.LatencyDeadline >= from && (inTime == nil || better(r, inTime)) {
								inTime = r
							}
							if r.Deadline >= from && (alive == nil || better(r, alive)) {
								alive = r
							}
						}
						if r, _ := l.BestByLatencyDeadline(order, from); r != inTime {
							t.Fatalf("%s subqueue %d, order %d: in time is %v, want %v", what, l.Profile, order, r, inTime)
						}
						if r, _ := l.BestByDeadline(order, from); r != alive {
							t.Fatalf("%s subqueue %d, order %d: alive is %v, want %v", what, l.Profile, order, r, alive)
						}
					}
				}
			}
			byProfile := map[int]int{}
			for _, l := range p.Shared {
				byProfile[l.Profile]++
				check("shared", l, func(r *request) bool { return !isolated[r.owner] })
			}
			for _, r := range ready {
				if byProfile[r.profile] != 1 && !isolated[r.owner] {
					t.Fatalf("profile %d has %d shared subqueues", r.profile, byProfile[r.profile])
				}
				for _, l := range p.SubqueuesOf(r.owner) {
					check("own", l, func(o *request) bool { return o.owner == r.owner })
				}
				if *r.Profile() != r.profile || !r.Placed() || !r.Queued() {
					t.Fatal("a ready request does not know where it stands")
				}
			}
			if len(p.Isolated) != len(isolated) {
				t.Fatalf("%d owners isolated, want %v", len(p.Isolated), isolated)
			}
		}
	})
}

// Profiles and owners that come and go leave no subqueues behind without bound.
func TestBounds(t *testing.T) {
	p := New[*request, int, string](byTag, byAim)
	for i := range 10_000 {
		r := &request{owner: "v", profile: i}
		r.Sequence, r.LatencyDeadline, r.Deadline = i, Time(i), Time(i)+time.Second
		r.ExpiresAt = r.Deadline
		p.Add(r, i)
		p.MakeReady(r, r.owner, r.profile)
		p.Remove(r)
	}
	if len(p.Shared) > keptEmpty || len(p.SubqueuesOf("v")) > keptEmpty || len(p.reusable) > keptForReuse || len(p.byProfile) > keptEmpty {
		t.Errorf("%d shared subqueues, %d of one owner, %d kept for use, %d by profile", len(p.Shared), len(p.SubqueuesOf("v")), len(p.reusable), len(p.byProfile))
	}
	p.Sweep()
	if len(p.owners) != 0 {
		t.Errorf("%d owners that have nothing", len(p.owners))
	}
}
