package flood

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the longest time that the histograms hold, in microseconds.
const maxLatency = 60_000_000

// Stats counts what became of the connections and requests of one kind of client. It is safe for
// concurrent use until the flood is over.
type Stats struct {
	mu sync.Mutex

	Attempts    int `json:"Tries"` // connections tried
	Connected   int
	Served      int // responses other than a rejection
	Rejected    int `json:"Refused"` // responses with a rejection
	Closed      int // connections that ended without a response that was waited for
	Unreachable int `json:"Unreached"` // connections that were not made
	// ConnectTime and ResponseTime are those of well-behaved clients, in microseconds; the
	// latter is of served requests.
	ConnectTime  *hdrhistogram.Histogram `json:"-"`
	ResponseTime *hdrhistogram.Histogram `json:"-"`
}

func newStats() *Stats {
	return &Stats{
		ConnectTime:  hdrhistogram.New(1, maxLatency, 3),
		ResponseTime: hdrhistogram.New(1, maxLatency, 3),
	}
}

// count adds one to a field of s.
func (s *Stats) count(field *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*field++
}

func (s *Stats) addUnreachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Attempts++
	s.Unreachable++
}

func (s *Stats) addConnected(connectTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Attempts++
	s.Connected++
	s.ConnectTime.RecordValue(connectTime.Microseconds())
}

// addResponse counts a response, or an error in place of one.
func (s *Stats) addResponse(status int, err error, responseTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.Closed++
	case status == http.StatusServiceUnavailable:
		s.Rejected++
	default:
		s.Served++
		s.ResponseTime.RecordValue(responseTime.Microseconds())
	}
}

// Write prints the statistics on a line that begins with name.
func (s *Stats) Write(w io.Writer, name string) {
	fmt.Fprintf(w, "%-6s tries %d, connected %d, served %d, refused %d, closed %d, not reached %d",
		name, s.Attempts, s.Connected, s.Served, s.Rejected, s.Closed, s.Unreachable)
	if s.ResponseTime.TotalCount() > 0 {
		fmt.Fprintf(w, "; connect p50 %v p99 %v, answer p50 %v p99 %v",
			percentile(s.ConnectTime, 50), percentile(s.ConnectTime, 99),
			percentile(s.ResponseTime, 50), percentile(s.ResponseTime, 99))
	}
	fmt.Fprintln(w)
}

func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
