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
		t.Fatalf("%+v, %v", table, err)
	}
	want := Fault{Call: "accept", Errno: unix.ENFILE, Probability: 0.5, MaxCount: 3, StartAfter: time.Second, Duration: 2 * time.Second}
	if table.Faults[0] != want {
		t.Errorf("%+v, want %+v", table.Faults[0], want)
	}
	for _, text := range []string{"accept", "open EINTR", "accept SHORT", "read EWHAT", "read EINTR chance", "read EINTR often 2", "step soon"} {
		if _, err := ParseFaultTable(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

// Two tables with the same seed fail the same calls, and no more than their count. A
// short read or write transfers one byte, and the wall clock alone is stepped.
func TestFaulty(t *testing.T) {
	draw := func() (failed []int) {
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
			t.Errorf("%d injected, %d failed", f.Injected(), len(failed))
		}
		return failed
	}
	one, two := draw(), draw()
	if len(one) != 4 || one[0] != two[0] || one[3] != two[3] {
		t.Errorf("failed %v and %v", one, two)
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
		t.Errorf("wrote %d, %v", n, err)
	}
	f.Write(pair[0], []byte("bc"))
	b := make([]byte, 8)
	if n, err := f.Read(pair[1], b); n != 1 || err != nil {
		t.Errorf("read %d, %v", n, err)
	}
	if monotonic, wall := f.Clocks(); wall.Sub(monotonic.Round(0)) < 59*time.Minute || time.Since(monotonic) > time.Second {
		t.Errorf("clocks %v and %v", monotonic, wall)
	}
}
