package orderedset

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct{ key, tie, a, b int64 }

// Runs random operations on the set and compares it with a sorted slice after each one.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byA := func(x, y item) bool { return cmp.Or(cmp.Compare(x.a, y.a), cmp.Compare(x.tie, y.tie)) < 0 }
		byB := func(x, y item) bool { return cmp.Or(cmp.Compare(y.b, x.b), cmp.Compare(x.tie, y.tie)) < 0 }
		s := New(byA, byB)
		var want []item
		smallNumber := rapid.Int64Range(0, 12)
		for tie := range rapid.Int64Range(1, 120).Draw(t, "steps") {
			if len(want) > 0 && rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				i := rapid.IntRange(0, len(want)-1).Draw(t, "which")
				if !s.Remove(want[i].key, want[i].tie) || s.Remove(want[i].key, want[i].tie) {
					t.Fatal("an item was not removed exactly once")
				}
				want = slices.Delete(want, i, i+1)
			} else {
				x := item{smallNumber.Draw(t, "key"), tie, smallNumber.Draw(t, "a"), smallNumber.Draw(t, "b")}
				s.Add(x.key, x.tie, x)
				want = append(want, x)
			}
			slices.SortFunc(want, func(x, y item) int { return cmp.Or(cmp.Compare(x.key, y.key), cmp.Compare(x.tie, y.tie)) })
			var got []item
			s.All(func(x item) bool { got = append(got, x); return true })
			if !slices.Equal(got, want) || s.Len() != len(want) {
				t.Fatalf("items are %v, want %v", got, want)
			}
			if x, ok := s.First(); ok != (len(want) > 0) || ok && x != want[0] {
				t.Fatalf("First returned %v, want the first of %v", x, want)
			}
			minKey := smallNumber.Draw(t, "from")
			for i, better := range []func(x, y item) bool{byA, byB} {
				var best item
				found := false
				for _, x := range want {
					if x.key >= minKey && (!found || better(x, best)) {
						best, found = x, true
					}
				}
				if x, ok := s.Best(i, minKey); ok != found || x != best {
					t.Fatalf("best by order %d with a key of at least %d is %v, want %v", i, minKey, x, best)
				}
			}
		}
	})
}

func BenchmarkSet(b *testing.B) {
	for _, n := range []int64{10, 1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New(func(x, y item) bool { return x.a < y.a })
			add := func(i int64) { s.Add(i, i, item{key: i, tie: i, a: i * 7919 % 1000}) }
			for i := range n {
				add(i)
			}
			b.ReportAllocs()
			for i := n; b.Loop(); i++ {
				add(i)
				s.Remove(i-n, i-n)
				s.Best(0, i-n/2)
			}
		})
	}
}
