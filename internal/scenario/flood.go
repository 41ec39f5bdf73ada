package scenario

import (
	"fmt"
	"io"
	"sync"
	"time"

	"maddergap/internal/flood"
)

// floodLimits are the admission directives of an instance in a scenario with a flood. The clients
// of the scenario, which come from 127.0.0.1, are known.
const floodLimits = "clients 300\nadmit address 32 known-times 10 reserve 200\nknown 127.0.0.1\n"

const (
	floodSources           = 500
	floodConcurrency       = 600
	floodAttemptsPerSecond = 300
)

// floodOptions are those of the flood of one instance: connections that send nothing, from many
// addresses, for the whole scenario. attempts is Options.FloodAttempts.
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

// floods are the floods of a scenario, one of each instance.
type floods struct {
	running sync.WaitGroup
	results []string // by instance; read after wait
}

// start floods each instance.
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

// wait waits until the floods are over.
func (f *floods) wait() { f.running.Wait() }

// report prints what became of the floods.
func (f *floods) report(progress io.Writer) {
	for i, result := range f.results {
		if result != "" {
			fmt.Fprintf(progress, "\rflood of head %d: %s\n", i, result)
		}
	}
}
