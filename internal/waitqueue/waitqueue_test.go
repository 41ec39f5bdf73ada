package waitqueue

import (
	"fmt"
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

type subqueue = Subqueue[*request, int]

func byTag(a, b *request) bool { return a.tag < b.tag || a.tag == b.tag && a.Sequence < b.Sequence }

func byLatencyDeadline(a, b *request) bool {
	return a.LatencyDeadline < b.LatencyDeadline || a.LatencyDeadline == b.LatencyDeadline && a.Sequence < b.Sequence
}

// Runs random operations on the queue and, after each one, compares it with a model that keeps plain
// lists of the queued, ready and deferred requests. Verifies that each subqueue finds the same best
// request as a search through all requests that belong to it; that each ready request is in one
// subqueue of its owner and, unless the owner is isolated, in one shared subqueue; that expired
// requests are returned in order; and that no request is lost.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, queue: New[*request, int, string](byTag, byLatencyDeadline), isolated: map[string]bool{}, now: 1}
		for sequence := range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now += Time(rapid.IntRange(0, 3).Draw(t, "passes"))
			switch operation := rapid.IntRange(0, 9).Draw(t, "operation"); operation {
			default:
				m.add(sequence, operation == 0)
			case 5:
				m.remove()
			case 6:
				m.suspend()
			case 7:
				m.isolate()
			case 8:
				m.popDeferred()
			case 9:
				m.removeExpired()
			}
			m.checkQueued()
			m.checkSubqueues()
		}
	})
}

// model runs operations on a queue and records the requests that must be in it, by state.
type model struct {
	*rapid.T
	queue                   *Queue[*request, int, string]
	queued, ready, deferred []*request
	isolated                map[string]bool
	now                     Time
}

// without returns a copy of the list without r.
func without(list []*request, r *request) []*request {
	return slices.DeleteFunc(slices.Clone(list), func(other *request) bool { return other == r })
}

// drawRequest returns a random request of the list, nil if the list is empty.
func (m *model) drawRequest(list []*request) *request {
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(m.T, "which")]
}

func (m *model) add(sequence int, shouldDefer bool) {
	r := &request{
		owner:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.T, "owner"),
		profile: rapid.IntRange(0, 2).Draw(m.T, "profile"),
		tag:     rapid.IntRange(0, 5).Draw(m.T, "tag"),
	}
	r.Sequence = sequence
	r.LatencyDeadline = m.now + Time(rapid.IntRange(0, 8).Draw(m.T, "latency deadline"))
	r.Deadline = r.LatencyDeadline + Time(rapid.IntRange(0, 8).Draw(m.T, "deadline"))
	r.ExpiresAt = r.LatencyDeadline + Time(rapid.IntRange(0, 8).Draw(m.T, "expiry"))
	m.queue.Add(r, sequence)
	m.queued = append(m.queued, r)
	if shouldDefer {
		m.queue.Defer(r, m.now+5)
		m.deferred = append(m.deferred, r)
		return
	}
	m.makeReady(r)
}

func (m *model) makeReady(r *request) {
	m.queue.MakeReady(r, r.owner, r.profile)
	m.ready = append(m.ready, r)
}

// markSuspended updates the model after a request has left the subqueues or ended its deferral.
func (m *model) markSuspended(r *request) {
	m.ready, m.deferred = without(m.ready, r), without(m.deferred, r)
	if !slices.ContainsFunc(m.ready, func(other *request) bool { return other.owner == r.owner }) {
		delete(m.isolated, r.owner)
	}
}

// markRemoved updates the model after a request was removed from the queue.
func (m *model) markRemoved(r *request) {
	m.queued = without(m.queued, r)
	m.markSuspended(r)
}

func (m *model) remove() {
	if r := m.drawRequest(m.queued); r != nil {
		m.queue.Remove(r)
		m.markRemoved(r)
	}
}

func (m *model) suspend() {
	if r := m.drawRequest(m.ready); r != nil {
		m.queue.Suspend(r)
		m.markSuspended(r)
	}
}

func (m *model) isolate() {
	if r := m.drawRequest(m.ready); r != nil && !m.isolated[r.owner] {
		m.queue.Isolate(r.owner)
		m.isolated[r.owner] = true
	}
}

func (m *model) popDeferred() {
	for r, ok := m.queue.PopDeferred(m.now); ok; r, ok = m.queue.PopDeferred(m.now) {
		if !slices.Contains(m.deferred, r) {
			m.Fatal("PopDeferred returned a request that was not deferred")
		}
		m.markSuspended(r)
		m.makeReady(r)
	}
	m.queue.DeleteEmptyOwners()
}

// removeExpired calls RemoveExpired with an extend function that moves the expiry of the requests of
// one profile to their deadline.
func (m *model) removeExpired() {
	extendedProfile := rapid.IntRange(0, 2).Draw(m.T, "extended profile")
	expired := m.queue.RemoveExpired(m.now, func(r *request) Time {
		if r.profile == extendedProfile && r.ExpiresAt < r.Deadline {
			return r.Deadline
		}
		return 0
	})
	for i, r := range expired {
		canExtend := r.profile == extendedProfile && r.ExpiresAt < r.Deadline && r.Deadline >= m.now
		if r.ExpiresAt >= m.now || canExtend || i > 0 && expired[i-1].Sequence > r.Sequence {
			m.Fatal("a request was removed before its expiry, or out of order")
		}
		m.markRemoved(r)
	}
	for _, r := range m.queued {
		if r.ExpiresAt < m.now {
			m.Fatal("an expired request is still queued")
		}
	}
}

func (m *model) checkQueued() {
	if m.queue.Len() != len(m.queued) {
		m.Fatalf("%d queued, want %d", m.queue.Len(), len(m.queued))
	}
	if len(m.queued) == 0 {
		return
	}
	first := slices.MinFunc(m.queued, func(a, b *request) int { return int(a.ExpiresAt - b.ExpiresAt) })
	if m.queue.NextExpiry() != first.ExpiresAt {
		m.Fatalf("next expiry %v, want %v", m.queue.NextExpiry(), first.ExpiresAt)
	}
}

func (m *model) checkSubqueues() {
	sharedCounts := map[int]int{}
	for _, sub := range m.queue.Shared {
		sharedCounts[sub.Profile]++
		m.checkSubqueue("shared", sub, func(r *request) bool { return !m.isolated[r.owner] })
	}
	for _, r := range m.ready {
		if sharedCounts[r.profile] != 1 && !m.isolated[r.owner] {
			m.Fatalf("profile %d has %d shared subqueues, want 1", r.profile, sharedCounts[r.profile])
		}
		for _, sub := range m.queue.SubqueuesOf(r.owner) {
			m.checkSubqueue("own", sub, func(other *request) bool { return other.owner == r.owner })
		}
		if *r.Profile() != r.profile || r.QueueState() != Ready {
			m.Fatal("a ready request has a wrong profile or state")
		}
	}
	for _, r := range m.deferred {
		if r.QueueState() != Deferred {
			m.Fatalf("a deferred request has state %v", r.QueueState())
		}
	}
	if len(m.queue.Isolated) != len(m.isolated) {
		m.Fatalf("%d owners are isolated, want %v", len(m.queue.Isolated), m.isolated)
	}
}

// checkSubqueue compares the best requests that a subqueue returns with those found by a search
// through all ready requests of its profile for which belongs returns true.
func (m *model) checkSubqueue(name string, sub *subqueue, belongs func(r *request) bool) {
	for order, better := range []func(a, b *request) bool{byTag, byLatencyDeadline} {
		for _, earliest := range []Time{0, m.now, m.now + 4} {
			var bestByObjective, bestByDeadline *request
			for _, r := range m.ready {
				if r.profile != sub.Profile || !belongs(r) {
					continue
				}
				if r.LatencyDeadline >= earliest && (bestByObjective == nil || better(r, bestByObjective)) {
					bestByObjective = r
				}
				if r.Deadline >= earliest && (bestByDeadline == nil || better(r, bestByDeadline)) {
					bestByDeadline = r
				}
			}
			if r, _ := sub.BestByLatencyDeadline(order, earliest); r != bestByObjective {
				m.Fatalf("%s subqueue of profile %d, order %d: best by latency deadline is %v, want %v", name, sub.Profile, order, r, bestByObjective)
			}
			if r, _ := sub.BestByDeadline(order, earliest); r != bestByDeadline {
				m.Fatalf("%s subqueue of profile %d, order %d: best by deadline is %v, want %v", name, sub.Profile, order, r, bestByDeadline)
			}
		}
	}
}

// Verifies that empty subqueues and owners without requests do not accumulate when every request has
// a profile of its own.
func TestEmptySubqueuesAndOwnersAreReleased(t *testing.T) {
	q := New[*request, int, string](byTag, byLatencyDeadline)
	for i := range 10_000 {
		r := &request{owner: "v", profile: i}
		r.Sequence, r.LatencyDeadline, r.Deadline = i, Time(i), Time(i)+time.Second
		r.ExpiresAt = r.Deadline
		q.Add(r, i)
		q.MakeReady(r, r.owner, r.profile)
		q.Remove(r)
	}
	if len(q.Shared) > maxEmptySharedSubqueues || len(q.SubqueuesOf("v")) > maxEmptySharedSubqueues ||
		len(q.freeSubqueues) > maxFreeSubqueues || len(q.sharedByProfile) > maxEmptySharedSubqueues {
		t.Errorf("%d shared subqueues, %d of one owner, %d free, %d shared by profile",
			len(q.Shared), len(q.SubqueuesOf("v")), len(q.freeSubqueues), len(q.sharedByProfile))
	}
	q.DeleteEmptyOwners()
	if len(q.owners) != 0 {
		t.Errorf("%d owners without ready requests remain after DeleteEmptyOwners", len(q.owners))
	}
}

// Verifies that owners without requests do not accumulate between two calls of DeleteEmptyOwners.
func TestManyOwnersAreReleased(t *testing.T) {
	q := New[*request, int, string](byTag, byLatencyDeadline)
	for i := range 10_000 {
		r := &request{owner: fmt.Sprint("v", i)}
		r.Sequence, r.ExpiresAt = i, Time(i)+time.Second
		q.Add(r, i)
		q.MakeReady(r, r.owner, r.profile)
		if i%10 > 0 { // every tenth stays ready
			q.Remove(r)
		}
		if bound := 3*(i/10+1) + maxEmptyOwners; len(q.owners) > bound {
			t.Fatalf("%d owners after %d requests, of which a tenth is ready; want at most %d", len(q.owners), i+1, bound)
		}
	}
}
