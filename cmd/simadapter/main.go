// Command simadapter puts the decision module on the simulator's wire. It maps
// wire messages to the module's events and its actions back, and decides nothing.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"maddergap/internal/settings"
	"maddergap/internal/simwire"
	"maddergap/scheduler"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches from in until it ends.
func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), bufio.NewWriterSize(out, 1<<20)
	heads := map[string]*scheduler.Scheduler{}
	for {
		b, err := r.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		answer(w, heads, b)
		fmt.Fprintf(w, "next %s\n", b.Number)
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// answer hands each instance its events of the batch, split where it is stopped
// or started, and writes what it does.
func answer(w io.Writer, heads map[string]*scheduler.Scheduler, b simwire.Batch) {
	var order []string
	events := map[string][]simwire.Event{}
	for _, e := range b.Events {
		if _, seen := events[e.Head]; !seen {
			order = append(order, e.Head)
		}
		events[e.Head] = append(events[e.Head], e)
	}
	for _, id := range order {
		if text := serve(w, heads, id, settings.Microseconds(b.Clock), events[id]); text != "" {
			delete(heads, id)
			fmt.Fprintf(w, "broken %s %s\n", id, strings.ReplaceAll(text, "\n", " "))
		}
	}
}

// serve runs one instance over its events; it returns the text of a fault.
func serve(w io.Writer, heads map[string]*scheduler.Scheduler, id string, now scheduler.Time, evs []simwire.Event) (fault string) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Sprint("panic: ", p)
		}
	}()
	var pending []scheduler.Event
	flush := func() {
		if h := heads[id]; h != nil && len(pending) > 0 {
			for _, a := range h.Handle(now, pending) {
				writeAction(w, id, a)
			}
		}
		pending = nil
	}
	for _, e := range evs {
		switch e.Kind {
		case "boot":
			pending = nil // meant for the life before
			h, err := scheduler.New(e.Site.Settings(), e.Entropy, now)
			if err != nil {
				return err.Error()
			}
			heads[id] = h
		case "shutdown":
			pending = nil
			delete(heads, id)
		default:
			if ev := event(e); ev != nil {
				pending = append(pending, ev)
			}
		}
	}
	flush()
	return ""
}

func event(e simwire.Event) scheduler.Event {
	switch e.Kind {
	case "registry":
		l := scheduler.EndpointUpdate{Full: e.How == "F" || e.How == "C", Failed: e.How == "X"}
		for _, it := range e.Items {
			l.Endpoints = append(l.Endpoints, scheduler.Endpoint{Node: it.Shelf, Zone: it.Zone, Shard: it.Cluster,
				State: states[it.Condition], Started: settings.Microseconds(it.UpSince)})
		}
		return l
	case "job_in":
		return scheduler.Arrival{ID: e.Job, Shard: e.Cell, Plan: e.Plan, Class: e.Service, Key: e.Key,
			Volume: e.User, TimeRemaining: settings.Microseconds(e.Grace), Units: e.Weight, Instances: e.Writers, ClientRetry: e.Again}
	case "ended":
		o, known := outcomes[e.How]
		if !known {
			o = scheduler.Failed
		}
		held, says := e.Telemetry["concurrent"]
		waiting, saysWaiting := e.Telemetry["depth"]
		return scheduler.AttemptEnded{ID: e.Job, Attempt: e.N, Node: e.Shelf, Outcome: o, Duration: settings.Microseconds(e.Took),
			Responded:    e.Terminal,
			ReportedLoad: max(held, waiting), HasLoadReport: says || saysWaiting}
	case "begun":
		return scheduler.ResponseStarted{ID: e.Job, Attempt: e.N}
	case "dropped":
		return scheduler.ClientDisconnected{ID: e.Job}
	case "bell":
		return scheduler.TimerFired{}
	}
	return nil // probe results and messages: the module sends neither
}

var states = map[string]scheduler.NodeState{"SERVING": scheduler.Serving, "DRAINING": scheduler.Draining,
	"DELETED": scheduler.Removed}

var outcomes = map[string]scheduler.Outcome{"done": scheduler.OK, "err": scheduler.Failed, "busy": scheduler.QueueFull,
	"etimedout": scheduler.TimedOut, "econnrefused": scheduler.ConnectFailed, "econnreset": scheduler.Reset,
	"ecanceled": scheduler.Cancelled, "skipped": scheduler.Superseded}

func writeAction(w io.Writer, id string, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Send:
		fmt.Fprintf(w, "dispatch %s %d %s 0\n", id, a.ID, a.Node)
	case scheduler.Reject:
		fmt.Fprintf(w, "shed %s %d %d\n", id, a.ID, a.RetryAfter.Microseconds())
	case scheduler.Fail:
		fmt.Fprintf(w, "drop_request %s %d\n", id, a.ID)
	case scheduler.SetTimer:
		fmt.Fprintf(w, "arm %s %d w\n", id, a.After.Microseconds())
	case scheduler.WatchEndpoints:
		fmt.Fprintf(w, "track %s 1\n", id)
	}
}
