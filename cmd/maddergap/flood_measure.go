package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"maddergap/internal/flood"
	"maddergap/internal/loopback"
	"maddergap/internal/nodelist"
	"maddergap/internal/subprocess"
)

// floodConf is the format of the configuration of a measured instance. Its arguments are the address to
// listen on and the admission directives.
const floodConf = `listen %s
nodes nodes.list
log-requests no
class read effect safe aim 300ms deadline 2s worth 1 late 0.5
plan p rate 10000 reserve 10000
volume feed-a plan p shards 0
route * class read
units bytes 64k
clients 600
%s`

// admissionConf holds the directives that turn admission control on and list the known clients.
const admissionConf = `admit address 16 wide 256 reserve 200 address-rate 50 address-burst 50 wide-rate 500 wide-burst 500
known 127.9.0.0/16
`

// secondInstanceHost is the last byte of the address of a floodRun's second instance. It must differ
// from the last byte in each measured instance's address, which is the number of the run, from 1.
const secondInstanceHost = 9

// floodMeasurement is the result of a floodRun.
type floodMeasurement struct {
	*flood.Result
	cpuShare   float64 // CPU time of the instance as a fraction of the elapsed time
	cpuSeconds float64 // CPU time of the instance, at least 1 ms
}

// knownP99 returns the 99th percentile of the known clients' connect times plus the 99th percentile of
// their response times, in microseconds.
func (m *floodMeasurement) knownP99() int64 {
	return m.Known.ResponseTime.ValueAtQuantile(99) + m.Known.ConnectTime.ValueAtQuantile(99)
}

// measure starts an instance at addr, directs the flood of run at it or at a second instance, and
// measures the clients and the CPU time of the first. node is the address of its storage node.
func (c *floodCmd) measure(addr string, run floodRun, node string) (*floodMeasurement, error) {
	dir, err := os.MkdirTemp("", "maddergap-flood-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if err := nodelist.Replace(filepath.Join(dir, "nodes.list"), []nodelist.Node{{Name: "n0", Addr: node}}); err != nil {
		return nil, err
	}
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	instance, err := startFloodInstance(exe, filepath.Join(dir, "m.conf"), addr, run.admissionDirectives)
	if err != nil {
		return nil, err
	}
	defer instance.Kill()
	options := c.options()
	options.Target, options.Attempts = addr, run.attempts
	floodOptions := options
	if run.besideFlood {
		floodOptions.Target = loopback.Addr(floodNetwork, secondInstanceHost, floodPort)
		second, err := startFloodInstance(exe, filepath.Join(dir, "other.conf"), floodOptions.Target, run.admissionDirectives)
		if err != nil {
			return nil, err
		}
		defer second.Kill()
	}
	startedAt := time.Now()
	result, err := runFlood(options, floodOptions, exe)
	if err != nil {
		return nil, usageError{err}
	}
	elapsed := time.Since(startedAt)
	if err := instance.Stop(); err != nil {
		return nil, fmt.Errorf("the head: %w", err)
	}
	cpu := instance.CPUTime().Seconds()
	return &floodMeasurement{Result: result, cpuShare: cpu / elapsed.Seconds(), cpuSeconds: max(cpu, 1e-3)}, nil
}

// startFloodInstance writes an instance's configuration to file and starts the instance.
func startFloodInstance(exe, file, addr, admissionDirectives string) (*subprocess.Process, error) {
	text := fmt.Sprintf(floodConf, addr, admissionDirectives)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	return subprocess.Start(addr, nil, exe, "serve", "--config", file)
}

// runFlood runs the well-behaved clients of options. If floodOptions has attempts, it runs that flood at
// the same time. The flood runs in a separate process, because its goroutines would delay the clients
// and so distort their latency.
func runFlood(options, floodOptions flood.Options, exe string) (*flood.Result, error) {
	result := &flood.Result{}
	floodDone := make(chan error, 1)
	go func() {
		if floodOptions.Attempts == 0 {
			floodDone <- nil
			return
		}
		var err error
		result.Flood, err = flood.RunProcess(floodOptions, exe)
		floodDone <- err
	}()
	clientsOnly := options
	clientsOnly.Attempts = 0
	clients, err := flood.Run(clientsOnly)
	if err := errors.Join(err, <-floodDone); err != nil {
		return nil, err
	}
	result.Known, result.Others = clients.Known, clients.Others
	return result, nil
}
