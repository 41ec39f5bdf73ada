package logic

// Plain arithmetic that logic.go counts with; it holds no decision and no value.

import (
	"math"
	"slices"
	"time"
)

// bucket is a token bucket.
type bucket struct {
	level, rate, cap float64
	at               Time
}

func (b *bucket) fill(now Time) {
	b.level = min(b.cap, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// since returns the part of rising times that is not before t.
func since(times []Time, t Time) []Time {
	i, _ := slices.BinarySearch(times, t)
	return times[i:]
}

// faded is a sum whose parts count half after some time.
type faded struct {
	sum float64
	at  Time
}

func (f *faded) add(now Time, x float64, half time.Duration) float64 {
	f.sum = f.sum*math.Exp2(-float64(max(now-f.at, 0))/float64(half)) + x
	f.at = max(now, f.at)
	return f.sum
}

// sight is what answers told, weighed by age.
type sight struct{ weight, lat, part faded }

func (s *sight) add(now Time, weight, lat, part float64) (w, l, p float64) {
	return s.weight.add(now, weight, memory), s.lat.add(now, lat, memory), s.part.add(now, part, memory)
}
