package scenario

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	streamsPerVolume  = 4
	objectsPerStream  = 3
	journalsPerVolume = 3
	exportUnits       = 4 // of an archiveExport
	// A number drawn from 0 to 1 chooses the class by the first of these bounds that it is below;
	// above all it is journalAppend. So half of the requests are traceRead, a quarter segmentWrite.
	readBound   = 0.5
	writeBound  = 0.75
	exportBound = 0.88
	// cancelProbability is that of a client disconnecting before its response. It then does so
	// minCancelDelay to minCancelDelay+cancelDelayRange after it sent the request.
	cancelProbability = 0.02
	minCancelDelay    = 5   // milliseconds
	cancelDelayRange  = 150 // milliseconds
	// surgeRatePart is the rate of the surge, one part in so many of that of all clients.
	surgeRatePart = 2
)

// drawRequests draws the open-loop schedule of the clients, with a surge of requests for one
// volume.
func (d *drawing) drawRequests() {
	p := d.plan
	from, to := d.span(surgeSpan)
	volumes := p.Nodes + p.Nodes/2
	p.addVolumes(volumes)
	surging := 2 * d.random.IntN(volumes/2) // a volume of the plan with a limit
	d.addStory("feed-%d: surge from %v to %v", surging, from, to)
	sequences := map[string]int{}
	for at := d.interval(p.Rate); at < p.Length; at += d.interval(p.Rate) {
		d.drawRequest(at, d.random.IntN(volumes), sequences)
	}
	for at := from; at < to; at += d.interval(p.Rate / surgeRatePart) {
		d.drawRequest(at, surging, sequences)
	}
	slices.SortStableFunc(p.Requests, func(a, b Request) int { return int(a.At - b.At) })
}

// addVolumes adds the volumes and their objects.
func (p *Plan) addVolumes(count int) {
	for volume := range count {
		p.Volumes = append(p.Volumes, fmt.Sprintf("feed-%d", volume))
		for stream := range streamsPerVolume {
			for object := range objectsPerStream {
				p.Objects = append(p.Objects, objectPath(volume, stream, object))
			}
		}
	}
}

func objectPath(volume, stream, object int) string {
	return fmt.Sprintf("/feed-%d/st%d.%d", volume, stream, object)
}

// interval draws the time between two requests that come at a rate a second.
func (d *drawing) interval(rate float64) time.Duration {
	return time.Duration(d.random.ExpFloat64() / rate * float64(time.Second))
}

// drawRequest draws a request for a volume. sequences are the last sequence numbers, by key.
func (d *drawing) drawRequest(at time.Duration, volume int, sequences map[string]int) {
	p, random := d.plan, d.random
	req := Request{
		At:       at,
		Instance: random.IntN(p.Instances),
		Volume:   p.Volumes[volume],
		Class:    traceRead,
		Method:   http.MethodGet,
		Units:    1,
		Path:     objectPath(volume, random.IntN(streamsPerVolume), random.IntN(objectsPerStream)),
	}
	switch x := random.Float64(); {
	case x < readBound:
		req.Units = 1 + random.IntN(2)
	case x < writeBound:
		req.Class, req.Method, req.Units = segmentWrite, http.MethodPut, 1+random.IntN(2)
		req.Path = fmt.Sprintf("/feed-%d/seg-%x", volume, random.Uint64())
	case x < exportBound:
		req.Class, req.Units = archiveExport, exportUnits
	default:
		// Ordered requests of a key all go to one instance.
		journal := random.IntN(journalsPerVolume)
		req.Class, req.Method, req.Instance = journalAppend, http.MethodPut, journal%p.Instances
		req.Path = fmt.Sprintf("/feed-%d/journal-%d", volume, journal)
		req.OrderKey = req.Path
		sequences[req.OrderKey]++
		req.Sequence = sequences[req.OrderKey]
	}
	if random.Float64() < cancelProbability {
		req.CancelAfter = time.Duration(minCancelDelay+random.IntN(cancelDelayRange)) * time.Millisecond
		req.CancelInBody = req.Method == http.MethodPut && random.IntN(2) == 0
	}
	req.TraceID = fmt.Sprintf("%016x%016x", p.Seed<<32|uint64(len(p.Requests)+1), random.Uint64()|1)
	p.Requests = append(p.Requests, req)
}
