package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// Regression test: one client with ever new names of volumes made the memory grow, since a volume was kept
// for ten seconds whatever their number. The same holds for keys.
func TestTablesByNameAreBounded(t *testing.T) {
	s := testSettings(func(s *Settings) { s.Classes[0].Ordered, s.KeyCooldown = true, 100*ms })
	h := newHarness(t, s, nodeA)
	h.scheduler.members.nodes[0].window = 8
	for id := uint64(1); id <= 3*maxVolumes; id++ {
		name := fmt.Sprint("v", id)
		h.handleAfter(ms/10, newArrival(id, withVolume(name, 0), withKey(name)))
		h.endAttempt(id, OK)
		if v, k := len(h.scheduler.volumes.byName), len(h.scheduler.keyOrders); v > maxVolumes || k > 1 {
			t.Fatalf("%d volumes and %d keys after %d names, want at most %d and 1", v, k, id, maxVolumes)
		}
	}
	assertEqual(t, "requests that were sent", len(h.sends), 3*maxVolumes)
	assertEqual(t, "volumes in the order of use", h.scheduler.volumes.byUse.Len(), maxVolumes)
	h.runFor(2 * volumeIdleTimeout)
	assertEqual(t, "volumes after a pause", len(h.scheduler.volumes.byName)+h.scheduler.volumes.byUse.Len(), 0)
}

// Guards against limits that are exceeded by new names: a volume whose limit is used up keeps its place,
// and the volumes without a place have one limit together.
func TestVolumesBeyondTheBoundShareALimit(t *testing.T) {
	s := testSettings(func(s *Settings) { s.Plans[0].Limit, s.Plans[0].LimitBurst = 1e-3, 10 })
	h := newHarness(t, s, nodeA)
	used := func(name string) bool {
		h.handleAfter(0, newArrival(h.nextID(), withVolume(name, 0), withUnits(6)))
		id := h.lastID
		if h.attempts[id] == 0 {
			return false
		}
		h.endAttempt(id, OK)
		return true
	}
	h.now += volumeFillTime // the buckets of volumes that are seen from now on are full
	for i := range maxVolumes {
		if !used(fmt.Sprint("v", i)) {
			t.Fatalf("the first request of volume %d was not sent", i)
		}
	}
	if used("v0") || used("v1") {
		t.Error("a volume got units beyond its limit")
	}
	if !used("more0") {
		t.Error("the first request of a volume beyond the bound was not sent")
	}
	for i := range 10 {
		if used(fmt.Sprint("more", i)) {
			t.Errorf("volume %d beyond the bound got units although the shared limit is used up", i)
		}
	}
	assertEqual(t, "volumes", len(h.scheduler.volumes.byName), maxVolumes)
}

// volumeFillTime is longer than the bucket of the test's limit takes to become full.
const volumeFillTime = 20000 * time.Second

// nextID returns an id that no request of the harness had.
func (h *harness) nextID() uint64 {
	h.lastID++
	return h.lastID
}
