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
	// sinkQueueLines is the maximum number of lines that wait to be written.
	sinkQueueLines = 8192
	// sinkQueueBytes is the maximum size of these lines. A line can be as long as the paths that clients send.
	sinkQueueBytes = 4 << 20
	// sinkCloseTimeout bounds how long Close waits for queued lines to be written.
	sinkCloseTimeout = 200 * time.Millisecond
)

// LogSink is an io.Writer that writes log lines from a goroutine of its own, so that a slow disk or a
// full pipe never delays the event loop. Lines that do not fit its queue, or cannot be written, are
// dropped and counted. Once a write can succeed again, a line with the number of dropped lines is
// written first. A disk that is full or fails for a while thus causes no harm beyond the lost lines.
//
// LogSink is safe for concurrent use.
type LogSink struct {
	w           io.Writer
	queue       chan []byte
	queuedBytes atomic.Int64
	dropped     atomic.Int64
	partialLine bool // the output ends in an incomplete line; used by the writing goroutine only
	close       sync.Once
	closing     chan struct{}
	done        chan struct{}
}

// NewLogSink returns a sink that writes to w, and starts its goroutine.
func NewLogSink(w io.Writer) *LogSink {
	s := &LogSink{w: w, queue: make(chan []byte, sinkQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line, or drops it if the queue is full. It never blocks and never returns an error.
func (s *LogSink) Write(line []byte) (int, error) {
	if !s.enqueue(line) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// enqueue queues a line, and reports whether there was room for it.
func (s *LogSink) enqueue(line []byte) bool {
	size := int64(len(line))
	if s.queuedBytes.Add(size) <= sinkQueueBytes {
		select {
		case s.queue <- bytes.Clone(line):
			return true
		default:
		}
	}
	s.queuedBytes.Add(-size)
	return false
}

// Close waits until the queued lines are written, for sinkCloseTimeout at most: otherwise a stopped
// process whose log nobody reads would never exit. Lines written after Close are lost.
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

// flush writes the queued lines.
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

// writeLine writes a line. If lines were dropped before it, it first writes their number.
func (s *LogSink) writeLine(line []byte) {
	defer s.queuedBytes.Add(-int64(len(line)))
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

// write writes a line and reports whether it was written completely. If the output ends in an
// incomplete line, write starts a new line first.
func (s *LogSink) write(line []byte) bool {
	if s.partialLine {
		line = append([]byte{'\n'}, line...)
	}
	n, err := s.w.Write(line)
	if err == nil {
		s.partialLine = false
		return true
	}
	s.partialLine = s.partialLine || n > 0
	return false
}
