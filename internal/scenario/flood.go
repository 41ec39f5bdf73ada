package scenario

import (
	"fmt"
	"io"
	"sync"
	"time"

	"maddergap/internal/flood"
)

// floodAdmissionConfig holds the admission directives that are added to the configuration of each
// instance if Options.Flood is set. The scenario's clients connect from 127.0.0.1 and are known.
const floodAdmissionConfig = "clients 300\nadmit address 32 known-times 10 reserve 200\nknown 127.0.0.1\n"

const (
	floodSources           = 500
	floodConcurrency       = 600
	floodAttemptsPerSecond = 300
)

// floodOptions returns the options for the flood of one instance: connections from many addresses
// that send nothing, during the whole scenario. attempts is Options.FloodAttempts.
func (p *Plan) floodOptions(target string, attempts int) flood.Options {
	if attempts == 0 {
		attempts = floodAttemptsPerSecond * int(p.Length/time.Second)
	}
	return flood.Options{
		Target:      target,
		Path:        "/",
		Pattern:     flood.Hold,
		Sources:     flood.SourceAddrs(floodSources),
		Attempts:    attempts,
		Concurrency: floodConcurrency,
		Duration:    p.Length,
	}
}

// floods runs the floods of a scenario, one for each instance.
type floods struct {
	running sync.WaitGroup
	results []string // statistics by instance, empty after an error; complete when wait returns
}

// start starts the floods in the background, one for each element of options.
func (f *floods) start(l launcher, options []flood.Options, progress io.Writer) {
	f.results = make([]string, len(options))
	for i, o := range options {
		f.running.Go(func() {
			result, err := l.flood(o)
			if err != nil {
				fmt.Fprintf(progress, "\rflood of head %d: %v\n", i, err)
			}
			f.results[i] = result
		})
	}
}

// wait waits until all floods are over.
func (f *floods) wait() { f.running.Wait() }

// report prints the statistics of the floods.
func (f *floods) report(progress io.Writer) {
	for i, result := range f.results {
		if result != "" {
			fmt.Fprintf(progress, "\rflood of head %d: %s\n", i, result)
		}
	}
}
