// Command simadapter connects schedulers to the simulator: it reads events from standard input and
// writes the schedulers' actions to standard output. It makes no scheduling decisions itself. Package
// internal/simwire implements the text protocol.
package main

import (
	"fmt"
	"io"
	"os"

	"maddergap/internal/simwire"
	"maddergap/scheduler"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends. It returns nil if the input ends after a complete batch.
func run(input io.Reader, output io.Writer) error {
	reader := simwire.NewReader(input)
	a := &adapter{writer: simwire.NewWriter(output), instances: map[string]*scheduler.Scheduler{}}
	for {
		batch, err := reader.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		a.handleBatch(batch)
		if err := a.writer.EndBatch(batch.Number); err != nil {
			return err
		}
	}
}

// adapter holds the schedulers of the running instances.
type adapter struct {
	writer    *simwire.Writer
	instances map[string]*scheduler.Scheduler // by instance name
}

// handleBatch passes the messages of a batch to their instances, one instance after the other in the
// order in which they first appear in the batch. An instance that fails is removed and reported to the
// simulator.
func (a *adapter) handleBatch(batch simwire.Batch) {
	var names []string
	messages := map[string][]simwire.Message{}
	for _, event := range batch.Events {
		if _, seen := messages[event.Instance]; !seen {
			names = append(names, event.Instance)
		}
		messages[event.Instance] = append(messages[event.Instance], event.Message)
	}
	for _, name := range names {
		if err := a.handleMessages(name, batch.Time, messages[name]); err != nil {
			delete(a.instances, name)
			a.writer.Fault(name, err.Error())
		}
	}
}

// handleMessages passes an instance its messages of one batch, and writes its actions. Events that
// come before a start or stop in the batch were meant for the process that ended, and are dropped. If
// handleMessages returns an error, the instance has failed. A panic of the scheduler is returned as an
// error too, so that it does not end the other instances.
func (a *adapter) handleMessages(name string, now scheduler.Time, messages []simwire.Message) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("panic: %v", recovered)
		}
	}()
	var events []scheduler.Event
	for _, message := range messages {
		switch m := message.(type) {
		case simwire.Start:
			events = nil
			instance, err := scheduler.New(m.Site.Settings(), m.Seed, now)
			if err != nil {
				return err
			}
			a.instances[name] = instance
		case simwire.Stop:
			events = nil
			delete(a.instances, name)
		case simwire.Report:
			events = append(events, m.Event)
		case simwire.AttemptReport:
			events = append(events, m.Event)
		case simwire.HealthCheckResult, simwire.PeerMessage:
			// The scheduler requests no health checks and sends no peer messages.
		}
	}
	instance := a.instances[name]
	if instance == nil || len(events) == 0 {
		return nil
	}
	for _, action := range instance.Handle(now, events) {
		a.writer.Action(name, action)
	}
	return nil
}
