package daemon

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// faultyFile is an in-memory log file whose writes can be made to fail.
type faultyFile struct {
	mu           sync.Mutex
	text         strings.Builder
	err          error // returned by each write; nil if writes succeed
	partialBytes int   // number of bytes that a failing write leaves in the file
}

func (file *faultyFile) Write(p []byte) (int, error) {
	file.mu.Lock()
	defer file.mu.Unlock()
	if file.err != nil {
		n := min(file.partialBytes, len(p))
		file.text.Write(p[:n])
		return n, file.err
	}
	return file.text.Write(p)
}

func (file *faultyFile) setFault(err error, partialBytes int) {
	file.mu.Lock()
	defer file.mu.Unlock()
	file.err, file.partialBytes = err, partialBytes
}

func (file *faultyFile) read() string {
	file.mu.Lock()
	defer file.mu.Unlock()
	return file.text.String()
}

// Verifies that a disk that is full or fails for a while costs only the lines written meanwhile: their
// number is logged before the next line, and a line written in part does not garble the lines after it.
func TestLogSinkOnFailingDisk(t *testing.T) {
	for _, err := range []error{unix.ENOSPC, unix.EIO} {
		for _, part := range []int{0, 3} {
			file := &faultyFile{}
			s := NewLogSink(file)
			s.Write([]byte("first\n"))
			eventually(t, func() bool { return file.read() == "first\n" })
			file.setFault(err, part)
			s.Write([]byte("lost\n"))
			s.Write([]byte("lost too\n"))
			eventually(t, func() bool { return s.dropped.Load() == 2 })
			file.setFault(nil, 0)
			s.Write([]byte("last\n"))
			s.Close()
			lines := strings.Split(strings.TrimSuffix(file.read(), "\n"), "\n")
			if n := len(lines); lines[0] != "first" || lines[n-1] != "last" || !strings.Contains(lines[n-2], `"count":2}`) {
				t.Errorf("%v, %d bytes of a failing write kept: got lines %q, want first, a count of 2 and last", err, part, lines)
			}
		}
	}
}

// Verifies that a log nobody reads, such as a full pipe, blocks neither Write nor Close: lines that do
// not fit the queue are dropped and counted, and Close returns after its timeout.
func TestLogSinkDropsLinesWhenNobodyReads(t *testing.T) {
	unblock := make(chan struct{})
	s := NewLogSink(writerFunc(func(p []byte) (int, error) { <-unblock; return len(p), nil }))
	start := time.Now()
	for range 2 * sinkQueueLines {
		s.Write([]byte("line\n"))
	}
	s.Close()
	s.Write([]byte("after close\n"))
	s.Close()
	if took := time.Since(start); took > 5*sinkCloseTimeout || s.dropped.Load() == 0 {
		t.Errorf("took %v for %d lines, %d of them dropped; want at most 5 times sinkCloseTimeout and some dropped", took, 2*sinkQueueLines, s.dropped.Load())
	}
	close(unblock)
	<-s.done
}

// Verifies that long lines that nobody reads occupy a bounded amount of memory.
func TestLogSinkBoundsLongLines(t *testing.T) {
	unblock := make(chan struct{})
	s := NewLogSink(writerFunc(func(p []byte) (int, error) { <-unblock; return len(p), nil }))
	line := bytes.Repeat([]byte("x"), 4<<10)
	for range sinkQueueLines {
		s.Write(line)
	}
	if n := s.queuedBytes.Load(); n > sinkQueueBytes || n < sinkQueueBytes-2*int64(len(line)) || s.dropped.Load() == 0 {
		t.Errorf("%d bytes are queued and %d lines dropped, want about %d bytes", n, s.dropped.Load(), sinkQueueBytes)
	}
	close(unblock)
	s.Close()
	if n := s.queuedBytes.Load(); n != 0 {
		t.Errorf("%d bytes are counted after the close, want 0", n)
	}
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// eventually waits until condition returns true, and fails the test after 5 s.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not become true within 5 s")
		}
	}
}
