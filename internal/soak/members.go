package soak

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"maddergap/internal/discovery"
	"maddergap/internal/discoverytest"
	"maddergap/internal/loopback"
)

// What the measurement of lists plays.
const (
	roundsOfMembers = 8
	downForMembers  = 1500 * time.Millisecond
	upForMembers    = time.Second
	clockTicks      = 100 // a second, of /proc/PID/stat
)

// MeasureNodeLists measures what one head needs for node lists of each size, with no clients, while
// discovery falls silent and comes back with one node changed.
func MeasureNodeLists(exe []string, dir string, sizes []int, out io.Writer) error {
	fmt.Fprintf(out, "members: %d outages of %v with one change each\n", roundsOfMembers, downForMembers)
	for _, size := range sizes {
		if err := membersOf(exe, dir, size, out); err != nil {
			return err
		}
	}
	return nil
}

func membersOf(exe []string, dir string, size int, out io.Writer) error {
	registry := discoverytest.NewRegistry()
	var entries []discovery.Endpoint
	for i := range size {
		address := fmt.Sprintf("127.200.%d.%d:8000", i/250, i%250+1)
		entries = append(entries, discovery.Endpoint{Name: fmt.Sprintf("s-%08x", i), Address: address, Zone: "z0", Group: i / 4, Status: "up"})
	}
	registry.ReplaceAll(entries...)
	log, err := os.Create(filepath.Join(dir, "members.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	o := &Options{Seed: 1, Instances: 1, Nodes: 4}
	h := &head{listen: loopback.Addr(250, 1, headPort), agent: registry.NewAgent(0), settings: drawSettings(o), dir: dir, exe: exe, log: log}
	if err := h.start(); err != nil {
		return err
	}
	defer h.process.Kill()
	defer h.agent.Close()
	for round := range roundsOfMembers {
		h.agent.StartOutage()
		time.Sleep(downForMembers)
		registry.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = []string{"draining", "up"}[round%2] }, "s-00000000")
		h.agent.EndOutage()
		time.Sleep(upForMembers)
	}
	used, err := usageOf(h.process.Pid())
	if err != nil {
		return err
	}
	asked := h.agent.Usage()
	fmt.Fprintf(out, "  %5d nodes: CPU %.2f s, peak %.1f MB, %d descriptors, %d answers of %d KB in all\n", size, used.cpu.Seconds(),
		float64(used.peakKB)/1024, used.descriptors, asked.Calls, asked.ResponseBytes/1024)
	return nil
}

// usage is what a process used so far.
type usage struct {
	cpu         time.Duration
	peakKB      int64
	descriptors int
}

func usageOf(pid int) (u usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	for _, i := range []int{11, 12} { // utime and stime
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, err
		}
		u.cpu += time.Duration(ticks) * time.Second / clockTicks
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ = strings.Cut(string(status), "VmHWM:")
	u.peakKB, err = strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		return u, err
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.descriptors = len(open)
	return u, err
}
