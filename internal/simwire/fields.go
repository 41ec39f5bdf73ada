package simwire

import (
	"fmt"
	"strconv"
	"strings"

	"maddergap/internal/settings"
	"maddergap/scheduler"
)

// fields reads the values of a line one after the other. The first error is kept, and what is read
// after it is zero or meaningless; done returns it.
type fields struct {
	values []string
	next   int
	err    error
}

func newFields(line string) *fields { return &fields{values: strings.Split(line, " ")} }

// text returns the next value, "" for one that is empty.
func (f *fields) text() string {
	if f.next >= len(f.values) {
		if f.err == nil {
			f.err = fmt.Errorf("value %d is missing", f.next)
		}
		return ""
	}
	value := f.values[f.next]
	f.next++
	if value == "-" {
		return ""
	}
	return value
}

// rest returns the remaining values as one text.
func (f *fields) rest() string {
	text := strings.Join(f.values[min(f.next, len(f.values)):], " ")
	f.next = len(f.values)
	return text
}

func (f *fields) notANumber(value string) {
	if f.err == nil {
		f.err = fmt.Errorf("value %d: %.40q is not a number", f.next-1, value)
	}
}

// int returns the next value as a number, 0 for an empty one.
func (f *fields) int() int64 {
	value := f.text()
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil && value != "" {
		f.notANumber(value)
	}
	return number
}

// uint returns the next value as a number, which must not be empty.
func (f *fields) uint() uint64 {
	value := f.text()
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		f.notANumber(value)
	}
	return number
}

// float returns the next value as a number, 0 for an empty one.
func (f *fields) float() float64 {
	value := f.text()
	number, err := strconv.ParseFloat(value, 64)
	if err != nil && value != "" {
		f.notANumber(value)
	}
	return number
}

// duration returns the next value as microseconds.
func (f *fields) duration() scheduler.Time { return settings.Microseconds(f.int()) }

func (f *fields) outcome() scheduler.Outcome {
	outcome, known := outcomes[f.text()]
	if !known {
		return scheduler.Failed
	}
	return outcome
}

// pairs returns the next value as a list of the form key:number,key:number, nil for an empty one.
func (f *fields) pairs() map[string]float64 {
	value := f.text()
	if value == "" {
		return nil
	}
	numbers := map[string]float64{}
	for pair := range strings.SplitSeq(value, ",") {
		key, text, _ := strings.Cut(pair, ":")
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			f.notANumber(pair)
		}
		numbers[key] = number
	}
	return numbers
}

// done returns the first error, one of them that values are left.
func (f *fields) done() error {
	if f.err == nil && f.next < len(f.values) {
		return fmt.Errorf("%d values too many", len(f.values)-f.next)
	}
	return f.err
}
