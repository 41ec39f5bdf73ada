package flood

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the highest value that the histograms record, in microseconds.
const maxLatency = 60_000_000

// Stats holds the counts of connections and requests of one kind of client. During the flood it is updated
// concurrently; its fields may be read when the flood is over.
type Stats struct {
	mu sync.Mutex

	Attempts    int `json:"Tries"` // connections attempted
	Connected   int
	Served      int // responses other than rejections
	Rejected    int `json:"Refused"` // rejections: status 503, and in the flood also 408
	Closed      int // connections that ended while a response was awaited
	Unreachable int `json:"Unreached"` // connections that could not be established
	// ConnectTime and ResponseTime are the times of well-behaved clients in microseconds.
	// ResponseTime includes only served requests.
	ConnectTime  *hdrhistogram.Histogram `json:"-"`
	ResponseTime *hdrhistogram.Histogram `json:"-"`
}

func newStats() *Stats {
	return &Stats{
		ConnectTime:  hdrhistogram.New(1, maxLatency, 3),
		ResponseTime: hdrhistogram.New(1, maxLatency, 3),
	}
}

// count increments a counter field of s.
func (s *Stats) count(field *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*field++
}

// addUnreachable counts an attempt that could not connect.
func (s *Stats) addUnreachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Attempts++
	s.Unreachable++
}

// addConnected counts an attempt that connected.
func (s *Stats) addConnected(connectTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Attempts++
	s.Connected++
	s.ConnectTime.RecordValue(connectTime.Microseconds())
}

// addResponse counts a response or, if err is not nil, a connection that ended without a complete one.
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

// Write prints the statistics as one line that starts with name.
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
