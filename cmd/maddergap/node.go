package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"maddergap/internal/fakenode"
)

// nodeCmd runs a fake node as a process.
type nodeCmd struct {
	Listen   string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Name     string        `default:"node" help:"Name in the record."`
	Record   string        `type:"path" help:"File for the record of requests (JSON lines)."`
	Script   string        `type:"existingfile" help:"Script of faults."`
	Epoch    int64         `help:"Unix time in milliseconds that the script's times count from; 0: the start."`
	Cores    int           `default:"2" help:"Requests processed at once."`
	Queue    int           `default:"64" help:"Requests held at once; more get 503."`
	Unit     int64         `default:"65536" help:"Bytes that cost one unit of work."`
	UnitTime time.Duration `default:"1ms" help:"Time that a unit takes a core."`
	Cold     time.Duration `default:"5s" help:"Warm-up after a scripted restart."`
	From     float64       `default:"0.2" help:"Part of its capacity that a restarted node starts with."`
	Multiple float64       `default:"3" help:"Load, in multiples of its capacity, above which a node that is warming up fails."`
	Window   time.Duration `default:"1s" help:"Window over which that load is measured."`
}

// Run runs a fake node until SIGINT or SIGTERM. It prints one line once the node listens.
func (c *nodeCmd) Run(io *streams) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	node, err := fakenode.Start(options)
	if err != nil {
		return err
	}
	fmt.Fprintf(io.out, "ready http://%s/\n", node.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return node.Close()
}

// options returns the options that the flags select, with the script parsed.
func (c *nodeCmd) options() (o fakenode.Options, err error) {
	o = fakenode.Options{
		Listen:          c.Listen,
		Name:            c.Name,
		RecordFile:      c.Record,
		Cores:           c.Cores,
		QueueLimit:      c.Queue,
		UnitBytes:       c.Unit,
		UnitTime:        c.UnitTime,
		WarmupDuration:  c.Cold,
		InitialFraction: c.From,
		OverloadFactor:  c.Multiple,
		OverloadWindow:  c.Window,
	}
	if c.Epoch > 0 {
		o.Epoch = time.UnixMilli(c.Epoch)
	}
	if c.Script == "" {
		return o, nil
	}
	text, err := os.ReadFile(c.Script)
	if err != nil {
		return o, err
	}
	o.Script, err = fakenode.ParseScript(c.Script, text)
	return o, err
}
