package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"maddergap/scheduler"
)

// Writer writes the replies to batches. A write error is kept and returned by EndBatch.
type Writer struct{ output *bufio.Writer }

// NewWriter returns a Writer whose output the simulator reads.
func NewWriter(output io.Writer) *Writer { return &Writer{bufio.NewWriterSize(output, bufferSize)} }

// Action adds an action of an instance to the reply.
func (w *Writer) Action(instance string, action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Send:
		fmt.Fprintf(w.output, "%s %s %d %s 0\n", kindSend, instance, a.ID, a.Node)
	case scheduler.Reject:
		fmt.Fprintf(w.output, "%s %s %d %d\n", kindReject, instance, a.ID, a.RetryAfter.Microseconds())
	case scheduler.Fail:
		fmt.Fprintf(w.output, "%s %s %d\n", kindFail, instance, a.ID)
	case scheduler.SetTimer:
		fmt.Fprintf(w.output, "%s %s %d w\n", kindSetTimer, instance, a.After.Microseconds())
	case scheduler.WatchEndpoints:
		fmt.Fprintf(w.output, "%s %s 1\n", kindWatchEndpoints, instance)
	}
}

// Fault adds a line that says that an instance has failed and why. A newline in text is written as a
// space.
func (w *Writer) Fault(instance, text string) {
	fmt.Fprintf(w.output, "%s %s %s\n", kindFault, instance, strings.ReplaceAll(text, "\n", " "))
}

// EndBatch ends the reply to the batch with this number, and flushes it to the output.
func (w *Writer) EndBatch(number string) error {
	fmt.Fprintf(w.output, "%s %s\n", kindNextBatch, number)
	return w.output.Flush()
}
