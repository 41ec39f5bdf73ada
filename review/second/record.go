package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run in a case, with the time since its start.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// write writes the lines to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, line := range r.lines {
		fmt.Fprintln(f, line)
	}
	return f.Close()
}
