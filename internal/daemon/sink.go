package daemon

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sinkLines is how many lines wait to be written at most.
	sinkLines = 8192
	// sinkCloseTime is for how long Close waits for what is still to be written.
	sinkCloseTime = 200 * time.Millisecond
)

// Sink writes lines from a goroutine of its own, so that a slow disk or a full pipe never holds
// the loop up. Lines that do not fit, or cannot be written, are dropped and counted; the count is
// the next line that can be written. Guards against a disk that is full or fails for a while.
type Sink struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	torn    bool // the last line was written in part
	once    sync.Once
	closing chan struct{}
	done    chan struct{}
}

// NewSink starts a sink.
func NewSink(w io.Writer) *Sink {
	s := &Sink{w: w, lines: make(chan []byte, sinkLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-s.closing:
			s.flush()
			return
		}
	}
}

// flush writes what waits.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			return
		}
	}
}

// put writes a line, behind the number of those that were dropped.
func (s *Sink) put(line []byte) {
	if n := s.dropped.Load(); n > 0 {
		count := fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"number\":%d}\n", n)
		if !s.write(count) {
			s.dropped.Add(1)
			return
		}
		s.dropped.Add(-n)
	}
	if !s.write(line) {
		s.dropped.Add(1)
	}
}

// write writes a line and tells whether it did; one behind a torn line begins on a new one.
func (s *Sink) write(line []byte) bool {
	if s.torn {
		line = append([]byte{'\n'}, line...)
	}
	n, err := s.w.Write(line)
	if err == nil {
		s.torn = false
		return true
	}
	s.torn = s.torn || n > 0
	return false
}

// Write takes a line; it never waits.
func (s *Sink) Write(p []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(p):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what it holds, as far as that goes in a short time. Guards against a process that
// has stopped and does not end, as nobody reads its log.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(sinkCloseTime):
	}
}
