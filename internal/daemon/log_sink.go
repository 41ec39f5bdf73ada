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
	// sinkQueueLines is how many lines wait to be written at most.
	sinkQueueLines = 8192
	// sinkCloseTimeout is how long Close waits for the lines that are still to be written.
	sinkCloseTimeout = 200 * time.Millisecond
)

// LogSink writes lines from a goroutine of its own, so that a slow disk or a full pipe never
// delays the event loop. Lines that do not fit its queue, or cannot be written, are dropped; how
// many is the next line that can be written. A disk that is full or fails for a while thus costs
// lines and nothing else.
//
// It is safe for concurrent use.
type LogSink struct {
	w       io.Writer
	queue   chan []byte
	dropped atomic.Int64
	torn    bool // the last line was written in part; of the goroutine that writes
	close   sync.Once
	closing chan struct{}
	done    chan struct{}
}

// NewLogSink starts a sink that writes to w.
func NewLogSink(w io.Writer) *LogSink {
	s := &LogSink{w: w, queue: make(chan []byte, sinkQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line. It never blocks and never fails.
func (s *LogSink) Write(line []byte) (int, error) {
	select {
	case s.queue <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that are queued, for sinkCloseTimeout at most: a process that has stopped
// would not end where nobody reads its log. Lines written after it are lost.
func (s *LogSink) Close() {
	s.close.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(sinkCloseTimeout):
	}
}

func (s *LogSink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.queue:
			s.writeLine(line)
		case <-s.closing:
			s.flush()
			return
		}
	}
}

// flush writes the lines that are queued.
func (s *LogSink) flush() {
	for {
		select {
		case line := <-s.queue:
			s.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, after the number of those that were dropped before it.
func (s *LogSink) writeLine(line []byte) {
	if n := s.dropped.Load(); n > 0 {
		count := fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
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

// write reports whether a line was written. After a torn line it starts a new one.
func (s *LogSink) write(line []byte) bool {
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
