package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"maddergap/scheduler"
)

// Writer writes the answers to batches. An error is returned by the next EndBatch.
type Writer struct{ output *bufio.Writer }

// NewWriter returns a writer of the simulator's input.
func NewWriter(output io.Writer) *Writer { return &Writer{bufio.NewWriterSize(output, bufferSize)} }

// Action writes an action of an instance.
func (w *Writer) Action(instance string, action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Send:
		fmt.Fprintf(w.output, "%s %s %d %s 0\n", wordSend, instance, a.ID, a.Node)
	case scheduler.Reject:
		fmt.Fprintf(w.output, "%s %s %d %d\n", wordReject, instance, a.ID, a.RetryAfter.Microseconds())
	case scheduler.Fail:
		fmt.Fprintf(w.output, "%s %s %d\n", wordFail, instance, a.ID)
	case scheduler.SetTimer:
		fmt.Fprintf(w.output, "%s %s %d w\n", wordSetTimer, instance, a.After.Microseconds())
	case scheduler.WatchEndpoints:
		fmt.Fprintf(w.output, "%s %s 1\n", wordWatchEndpoints, instance)
	}
}

// Fault reports that an instance cannot go on.
func (w *Writer) Fault(instance, text string) {
	fmt.Fprintf(w.output, "%s %s %s\n", wordFault, instance, strings.ReplaceAll(text, "\n", " "))
}

// EndBatch ends the answer to a batch and sends it.
func (w *Writer) EndBatch(number string) error {
	fmt.Fprintf(w.output, "%s %s\n", wordNextBatch, number)
	return w.output.Flush()
}
