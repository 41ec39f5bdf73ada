package gateway

import (
	"maps"
	"slices"

	"maddergap/internal/config"
	"maddergap/internal/route"
)

// maxPooledFields is the capacity of the largest field table that is kept with a free request.
const maxPooledFields = 32

// requestTable holds the requests that were submitted to the scheduler and are still in
// use, and free request objects for reuse. Ids are consecutive from 1.
type requestTable struct {
	byID   map[uint64]*request
	lastID uint64
	free   []*request
}

func newRequestTable() requestTable { return requestTable{byID: map[uint64]*request{}} }

// create returns a new request, which has no id yet.
func (t *requestTable) create(c *config.Config, routes *route.Table) *request {
	req := t.takeFree()
	req.config, req.routes = c, routes
	return req
}

func (t *requestTable) takeFree() *request {
	last := len(t.free) - 1
	if last < 0 {
		return &request{}
	}
	req := t.free[last]
	t.free = t.free[:last]
	req.recycled = false
	return req
}

// assignID gives a request its id and adds it to the table.
func (t *requestTable) assignID(req *request) {
	t.lastID++
	req.id = t.lastID
	t.byID[req.id] = req
}

// recycle takes back the object of a request that is no longer in use. It must not be called
// twice for one request: the object would then serve two clients at once.
func (t *requestTable) recycle(req *request) {
	if req.id != 0 {
		delete(t.byID, req.id)
	}
	req.recycled = true
	if len(t.free) < maxPooled {
		fields := req.header.Fields[:0]
		*req = request{recycled: true}
		if cap(fields) <= maxPooledFields {
			req.header.Fields = fields
		}
		t.free = append(t.free, req)
	}
}

// sortedIDs returns the ids of all requests, in ascending order.
func (t *requestTable) sortedIDs() []uint64 { return slices.Sorted(maps.Keys(t.byID)) }
