// Package bench compares the gateway with net/http/httputil.ReverseProxy. Both run on the same machine,
// use the same fake node and are measured in alternation. Each runs in a separate process, so that its CPU
// time can be measured. Absolute figures depend on the machine; the ratios are the result.
package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options configures the benchmarks.
type Options struct {
	Exe     string // path of this program, which also runs the gateway and the proxy
	Dir     string // directory for configurations and node lists
	Clients int    // number of clients; each has one kept-alive connection
	// Duration is the duration of one measurement. Small and Nodes make a warm-up of that duration and
	// then Repeats measurements; Rush and Overload make one measurement for each number of clients.
	Duration     time.Duration
	Repeats      int
	ResponseSize int // bytes of the body of a small response
	Out          io.Writer
}

// maxLatency is the highest latency that the histograms record, in microseconds.
const maxLatency = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// formatRatios formats the mean and the range of ratios, which must not be empty.
func formatRatios(ratios []float64) string {
	low, high, sum := ratios[0], ratios[0], 0.0
	for _, ratio := range ratios {
		low = min(low, ratio)
		high = max(high, ratio)
		sum += ratio
	}
	return fmt.Sprintf("mean %.2f (%.2f to %.2f over %d turns)", sum/float64(len(ratios)), low, high, len(ratios))
}
