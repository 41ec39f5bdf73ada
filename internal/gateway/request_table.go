package gateway

import (
	"maps"
	"slices"
)

// requestTable has the requests that were submitted to the scheduler and are still
// in use, and those that are done with for reuse. The ids are consecutive from 1.
type requestTable struct {
	byID   map[uint64]*exchange
	lastID uint64
	free   []*exchange
}

func newRequestTable() requestTable { return requestTable{byID: map[uint64]*exchange{}} }

// create returns a new request, which has no id yet.
func (t *requestTable) create() *exchange {
	last := len(t.free) - 1
	if last < 0 {
		return &exchange{}
	}
	ex := t.free[last]
	t.free = t.free[:last]
	ex.recycled = false
	return ex
}

// assignID gives a request its id and makes it known under it.
func (t *requestTable) assignID(ex *exchange) {
	t.lastID++
	ex.id = t.lastID
	t.byID[ex.id] = ex
}

// recycle takes back a request that is no longer in use. It must not be called twice
// for one request, as it would serve two clients at once then.
func (t *requestTable) recycle(ex *exchange) {
	if ex.id != 0 {
		delete(t.byID, ex.id)
	}
	ex.recycled = true
	if len(t.free) < maxPooled {
		fields := ex.req.Fields[:0]
		*ex = exchange{recycled: true}
		ex.req.Fields = fields
		t.free = append(t.free, ex)
	}
}

// sortedIDs returns the ids of all requests, in ascending order.
func (t *requestTable) sortedIDs() []uint64 { return slices.Sorted(maps.Keys(t.byID)) }
