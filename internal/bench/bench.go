// Package bench measures the gateway against net/http/httputil.ReverseProxy before the same fake
// node, in alternation on one machine. Each is a process of its own, so that its CPU time can be
// told. The figures that count are ratios.
package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options are the options of a measurement.
type Options struct {
	Exe     string // the program
	Dir     string // for configurations and node lists
	Clients int    // with a kept-alive connection each
	// Duration is that of one measurement. Small and Nodes take Repeats of them, after a warm-up
	// of the same duration; Rush and Overload take one for each number of clients.
	Duration     time.Duration
	Repeats      int
	ResponseSize int // bytes of the body of a small response
	Out          io.Writer
}

// maxLatency is the longest latency that the histograms hold, in microseconds.
const maxLatency = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// formatRatios is the mean and the range of ratios, at least one.
func formatRatios(ratios []float64) string {
	low, high, sum := ratios[0], ratios[0], 0.0
	for _, ratio := range ratios {
		low = min(low, ratio)
		high = max(high, ratio)
		sum += ratio
	}
	return fmt.Sprintf("mean %.2f (%.2f to %.2f over %d turns)", sum/float64(len(ratios)), low, high, len(ratios))
}
