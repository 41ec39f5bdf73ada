package daemon

import (
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// disk is a log file whose writes can be made to fail.
type disk struct {
	mu   sync.Mutex
	text strings.Builder
	err  error // of each write; nil while it works
	part int   // bytes that a failing write leaves in the file
}

func (d *disk) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		n := min(d.part, len(p))
		d.text.Write(p[:n])
		return n, d.err
	}
	return d.text.Write(p)
}

func (d *disk) set(err error, part int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err, d.part = err, part
}

func (d *disk) read() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text.String()
}

// The log's disk is full, or fails, for a while, and may keep a part of a line. Lines are lost and
// counted, the count comes before the next line, and a torn line spoils none after it.
func TestLogSinkOnFailingDisk(t *testing.T) {
	for _, err := range []error{unix.ENOSPC, unix.EIO} {
		for _, part := range []int{0, 3} {
			d := &disk{}
			s := NewLogSink(d)
			s.Write([]byte("first\n"))
			eventually(t, func() bool { return d.read() == "first\n" })
			d.set(err, part)
			s.Write([]byte("lost\n"))
			s.Write([]byte("lost too\n"))
			eventually(t, func() bool { return s.dropped.Load() == 2 })
			d.set(nil, 0)
			s.Write([]byte("last\n"))
			s.Close()
			lines := strings.Split(strings.TrimSuffix(d.read(), "\n"), "\n")
			if n := len(lines); lines[0] != "first" || lines[n-1] != "last" || !strings.Contains(lines[n-2], `"count":2}`) {
				t.Errorf("%v, %d bytes left behind: %q", err, part, lines)
			}
		}
	}
}

// The log is a pipe that nobody reads. Lines are dropped and counted, Write does not block, and
// Close returns in time.
func TestLogSinkThatNobodyReads(t *testing.T) {
	read := make(chan struct{})
	s := NewLogSink(writerFunc(func(p []byte) (int, error) { <-read; return len(p), nil }))
	began := time.Now()
	for range 2 * sinkQueueLines {
		s.Write([]byte("line\n"))
	}
	s.Close()
	s.Write([]byte("behind the end\n"))
	s.Close()
	if took := time.Since(began); took > 5*sinkCloseTimeout || s.dropped.Load() == 0 {
		t.Errorf("%v for %d lines, %d of them dropped", took, 2*sinkQueueLines, s.dropped.Load())
	}
	close(read)
	<-s.done
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func eventually(t *testing.T, is func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the condition never holds")
		}
	}
}
