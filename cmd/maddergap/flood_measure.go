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

// floodConf is the configuration of an instance that is measured. Its verbs are the address to
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

const admissionConf = `admit address 16 wide 256 reserve 200 address-rate 50 address-burst 50 wide-rate 500 wide-burst 500
known 127.9.0.0/16
`

// asideHost is the last byte of the address where the second instance of a floodRun listens. It is
// none of the addresses of the runs.
const asideHost = 9

// floodMeasurement is what a floodRun measured.
type floodMeasurement struct {
	*flood.Result
	cpuShare   float64 // of one CPU that the instance used
	cpuSeconds float64 // that the instance used
}

// knownP99 is the 99th percentile of the time that a known client took to connect and to get its
// response, in microseconds.
func (m *floodMeasurement) knownP99() int64 {
	return m.Known.ResponseTime.ValueAtQuantile(99) + m.Known.ConnectTime.ValueAtQuantile(99)
}

// measure runs an instance at addr, floods it or one beside it, and measures its known clients.
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
	instance, err := startFloodInstance(exe, filepath.Join(dir, "m.conf"), addr, run.admit)
	if err != nil {
		return nil, err
	}
	defer instance.Kill()
	options := c.options()
	options.Target, options.Attempts = addr, run.attempts
	flooded := options
	if run.aside {
		flooded.Target = loopback.Addr(floodNetwork, asideHost, floodPort)
		second, err := startFloodInstance(exe, filepath.Join(dir, "other.conf"), flooded.Target, run.admit)
		if err != nil {
			return nil, err
		}
		defer second.Kill()
	}
	startedAt := time.Now()
	result, err := runFlood(options, flooded, exe)
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

// startFloodInstance writes a configuration and starts an instance with it.
func startFloodInstance(exe, file, addr, admit string) (*subprocess.Process, error) {
	text := fmt.Sprintf(floodConf, addr, admit)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	return subprocess.Start(addr, nil, exe, "serve", "--config", file)
}

// runFlood runs the clients of options and, beside them, the flood of flooded, if it has attempts.
// The flood is a process of its own: its goroutines would delay the clients that are measured.
func runFlood(options, flooded flood.Options, exe string) (*flood.Result, error) {
	result := &flood.Result{}
	floodDone := make(chan error, 1)
	go func() {
		if flooded.Attempts == 0 {
			floodDone <- nil
			return
		}
		var err error
		result.Flood, err = flood.RunProcess(flooded, exe)
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
