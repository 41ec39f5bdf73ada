// Command simadapter runs the scheduler behind the simulator's text protocol, on standard input and
// output. It decides nothing; internal/simwire has the protocol.
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

// run answers batches until the input ends.
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

// adapter runs the scheduler of each instance that is started.
type adapter struct {
	writer    *simwire.Writer
	instances map[string]*scheduler.Scheduler
}

// handleBatch gives each instance its messages, in the order in which the instances first appear.
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

// handleMessages gives an instance its messages of one moment and writes its actions. Events before
// a start or stop were for the process that ended, and are dropped. An error ends the instance; a
// panic of the scheduler is one, so that the others go on.
func (a *adapter) handleMessages(name string, now scheduler.Time, messages []simwire.Message) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("panic: %v", fault)
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
			// The scheduler asks for neither.
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
