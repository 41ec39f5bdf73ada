package syscalls

import (
	"errors"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestParseFaultTable(t *testing.T) {
	table, err := ParseFaultTable("seed 7; step -1h; accept ENFILE chance 0.5 count 3 from 1s for 2s; read SHORT; ")
	if err != nil || table.Seed != 7 || table.WallClockStep != -time.Hour || len(table.Faults) != 2 {
		t.Fatalf("parsed table is %+v, error %v", table, err)
	}
	want := Fault{Call: "accept", Errno: unix.ENFILE, Probability: 0.5, MaxCount: 3, StartAfter: time.Second, Duration: 2 * time.Second}
	if table.Faults[0] != want {
		t.Errorf("parsed fault is %+v, want %+v", table.Faults[0], want)
	}
	for _, text := range []string{"accept", "open EINTR", "accept SHORT", "read EWHAT", "read EINTR chance", "read EINTR often 2", "step soon"} {
		if _, err := ParseFaultTable(text); err == nil {
			t.Errorf("ParseFaultTable(%q) returned no error", text)
		}
	}
}

// Verifies that two tables with the same seed make the same calls fail, and no more calls than
// the count allows; that a short read or write transfers one byte; and that a step changes the
// wall clock only.
func TestFaulty(t *testing.T) {
	failedCalls := func() (failed []int) {
		table, err := ParseFaultTable("seed 3; socket ENFILE chance 0.3 count 4")
		if err != nil {
			t.Fatal(err)
		}
		f := NewFaulty(Linux{}, *table)
		for i := range 40 {
			fd, err := f.Socket(unix.AF_INET)
			if errors.Is(err, unix.ENFILE) {
				failed = append(failed, i)
				continue
			}
			unix.Close(fd)
		}
		if f.Injected() != len(failed) {
			t.Errorf("Injected() = %d, but %d calls failed", f.Injected(), len(failed))
		}
		return failed
	}
	first, second := failedCalls(), failedCalls()
	if len(first) != 4 || first[0] != second[0] || first[3] != second[3] {
		t.Errorf("failed calls are %v and %v, want the same 4 calls in both", first, second)
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	defer unix.Close(pair[1])
	table, _ := ParseFaultTable("write SHORT count 1; read SHORT count 1; step 1h")
	f := NewFaulty(Linux{}, *table)
	if n, err := f.Write(pair[0], []byte("abc")); n != 1 || err != nil {
		t.Errorf("short write: %d bytes, error %v; want 1 byte", n, err)
	}
	f.Write(pair[0], []byte("bc"))
	buffer := make([]byte, 8)
	if n, err := f.Read(pair[1], buffer); n != 1 || err != nil {
		t.Errorf("short read: %d bytes, error %v; want 1 byte", n, err)
	}
	if monotonic, wall := f.Clocks(); wall.Sub(monotonic.Round(0)) < 59*time.Minute || time.Since(monotonic) > time.Second {
		t.Errorf("monotonic clock %v, wall clock %v; want the wall clock alone an hour ahead", monotonic, wall)
	}
}
