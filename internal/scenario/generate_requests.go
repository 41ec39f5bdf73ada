package scenario

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// A volume has streams. The objects of a stream are stored before the scenario starts; traceRead and
	// archiveExport requests read them.
	streamsPerVolume  = 4
	objectsPerStream  = 3
	journalsPerVolume = 3
	exportUnits       = 4 // units of an archiveExport request
	// The class of a request is chosen by a random number from 0 to 1: traceRead below readBound,
	// segmentWrite below writeBound, archiveExport below exportBound, journalAppend otherwise. Half of
	// the requests are thus traceRead and a quarter segmentWrite.
	readBound   = 0.5
	writeBound  = 0.75
	exportBound = 0.88
	// cancelProbability is the probability that a client disconnects before the response. It does so
	// between minCancelDelay and minCancelDelay+cancelDelayRange after it sent the request.
	cancelProbability = 0.02
	minCancelDelay    = 5   // milliseconds
	cancelDelayRange  = 150 // milliseconds
	// During the surge, one volume receives additional requests at the rate of all clients divided by
	// surgeRateDivisor.
	surgeRateDivisor = 2
)

// generateRequests generates the volumes and the open-loop schedule of requests. The schedule
// includes a surge: for a while, one volume receives additional requests.
func (g *planGenerator) generateRequests() {
	p := g.plan
	from, to := g.drawPeriod(surgePeriod)
	volumes := p.Nodes + p.Nodes/2
	p.addVolumes(volumes)
	surgingVolume := 2 * g.random.IntN(volumes/2) // even volumes have the plan with a limit
	g.addDescription("feed-%d: surge from %v to %v", surgingVolume, from, to)
	sequences := map[string]int{}
	for at := g.drawInterarrivalTime(p.Rate); at < p.Length; at += g.drawInterarrivalTime(p.Rate) {
		g.generateRequest(at, g.random.IntN(volumes), sequences)
	}
	for at := from; at < to; at += g.drawInterarrivalTime(p.Rate / surgeRateDivisor) {
		g.generateRequest(at, surgingVolume, sequences)
	}
	slices.SortStableFunc(p.Requests, func(a, b Request) int { return int(a.At - b.At) })
}

// addVolumes adds count volumes and the objects stored in them.
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

// drawInterarrivalTime returns the random time between two arrivals of a Poisson process. rate is
// its rate in requests per second.
func (g *planGenerator) drawInterarrivalTime(rate float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// generateRequest adds a request for a volume, with random class, object and instance. sequences
// holds the last sequence number of each order key and is updated.
func (g *planGenerator) generateRequest(at time.Duration, volume int, sequences map[string]int) {
	p, random := g.plan, g.random
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
		// An order key's requests all go to one instance; instances keep the order independently.
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
