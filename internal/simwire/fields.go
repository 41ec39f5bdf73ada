package simwire

import (
	"fmt"
	"strconv"
	"strings"

	"maddergap/internal/settings"
	"maddergap/scheduler"
)

// fields parses the values of a line from left to right. The kind of the line is value 0. The first
// error is kept in err and returned by done; values returned after an error are zero or meaningless.
type fields struct {
	values []string
	next   int // index of the next value
	err    error
}

func newFields(line string) *fields { return &fields{values: strings.Split(line, " ")} }

// text returns the next value. It returns "" for "-", which stands for an empty value.
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

// remaining consumes the remaining values and returns them as one string, separated by spaces.
func (f *fields) remaining() string {
	text := strings.Join(f.values[min(f.next, len(f.values)):], " ")
	f.next = len(f.values)
	return text
}

// setNotANumber records the error that the value read last is not a number.
func (f *fields) setNotANumber(value string) {
	if f.err == nil {
		f.err = fmt.Errorf("value %d: %.40q is not a number", f.next-1, value)
	}
}

// int returns the next value as an integer. An empty value is 0.
func (f *fields) int() int64 {
	value := f.text()
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil && value != "" {
		f.setNotANumber(value)
	}
	return number
}

// uint returns the next value as an unsigned integer. An empty value is an error.
func (f *fields) uint() uint64 {
	value := f.text()
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		f.setNotANumber(value)
	}
	return number
}

// float returns the next value as a floating-point number. An empty value is 0.
func (f *fields) float() float64 {
	value := f.text()
	number, err := strconv.ParseFloat(value, 64)
	if err != nil && value != "" {
		f.setNotANumber(value)
	}
	return number
}

// duration returns the next value, an integer number of microseconds, as a duration. An empty value
// is 0.
func (f *fields) duration() scheduler.Time { return settings.Microseconds(f.int()) }

// outcome returns the next value as the outcome of an attempt or health check. An unknown value counts
// as scheduler.Failed.
func (f *fields) outcome() scheduler.Outcome {
	outcome, known := outcomes[f.text()]
	if !known {
		return scheduler.Failed
	}
	return outcome
}

// pairs returns the next value, which has the form key:number,key:number, as a map. An empty value is
// nil.
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
			f.setNotANumber(pair)
		}
		numbers[key] = number
	}
	return numbers
}

// done returns the first error. Without one, it returns an error if not all values have been read.
func (f *fields) done() error {
	if f.err == nil && f.next < len(f.values) {
		return fmt.Errorf("%d values too many", len(f.values)-f.next)
	}
	return f.err
}
