package scheduler

import "container/list"

// maxVolumes bounds the volumes that an instance has state of. Names of volumes come with requests,
// and one client could otherwise use up the memory with ever new names.
const maxVolumes = 4096

// volumeTable holds the volumes, at most maxVolumes. Further volumes replace those that have not been used
// for longest and may be deleted. If none may, the further volumes of a plan share one state, as if they
// were one volume, and so one share and one limit.
type volumeTable struct {
	byName map[string]*volume
	byUse  list.List         // of *volume; the least recently used is at the front
	shared map[*Plan]*volume // for volumes without a place in byName
}

func newVolumeTable() volumeTable {
	return volumeTable{byName: map[string]*volume{}, shared: map[*Plan]*volume{}}
}

func (t *volumeTable) add(name string, v *volume) {
	v.name = name
	v.element = t.byUse.PushBack(v)
	t.byName[name] = v
}

func (t *volumeTable) remove(v *volume) {
	t.byUse.Remove(v.element)
	delete(t.byName, v.name)
}

// maxDeletionCandidates is the number of volumes, from the least recently used on, of which one is deleted
// to make room.
const maxDeletionCandidates = 8

// hasRoom reports whether the table has room for another volume. It deletes one of the least recently used
// for that if it can.
func (t *volumeTable) hasRoom(now Time) bool {
	if len(t.byName) < maxVolumes {
		return true
	}
	element := t.byUse.Front()
	for range maxDeletionCandidates {
		if v := element.Value.(*volume); v.mayBeDeleted(now) {
			t.remove(v)
			return true
		}
		element = element.Next()
	}
	return false
}

// mayBeDeleted reports whether nothing is lost with the state of a volume: it has no requests, and the
// bucket of its limit is full, since the bucket of a volume that is created again could hold more.
func (v *volume) mayBeDeleted(now Time) bool {
	v.limit.fill(now)
	return v.requests == 0 && v.limit.level >= v.limit.capacity
}

// findOrAddVolume returns the volume of an arriving request, or the one that it shares with others.
func (s *Scheduler) findOrAddVolume(a Arrival) *volume {
	t := &s.volumes
	if v := t.byName[a.Volume]; v != nil {
		return v
	}
	if t.hasRoom(s.now) {
		v := s.newVolume(a.Plan)
		t.add(a.Volume, v)
		return v
	}
	plan := s.planAt(a.Plan)
	v := t.shared[plan]
	if v == nil {
		v = s.newVolume(a.Plan)
		t.shared[plan] = v
	}
	return v
}

// sweepVolumes deletes idle volumes and streams.
func (s *Scheduler) sweepVolumes() {
	for _, v := range s.volumes.byName {
		s.sweepStreams(v)
		v.limit.fill(s.now)
		if s.now-v.lastUsedAt > volumeIdleTimeout && len(v.streams) == 0 && v.mayBeDeleted(s.now) {
			s.volumes.remove(v)
		}
	}
	for _, v := range s.volumes.shared {
		s.sweepStreams(v)
	}
}

func (s *Scheduler) sweepStreams(v *volume) {
	for n, nodeStream := range v.streams {
		if s.now-nodeStream.lastUsedAt > volumeIdleTimeout {
			delete(v.streams, n)
		}
	}
}
