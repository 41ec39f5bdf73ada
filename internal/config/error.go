package config

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Error reports a mistake in a file of the line-based format.
type Error struct {
	File   string
	Line   int // line number, from 1; 0 if the mistake concerns the file as a whole
	Reason string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// joinErrors joins mistakes in the order of their lines, followed by those of the file as a whole.
// Mistakes of the same line stay in the given order. It returns nil if there are none.
func joinErrors(mistakes []*Error) error {
	position := func(e *Error) int {
		if e.Line == 0 {
			return math.MaxInt
		}
		return e.Line
	}
	sorted := slices.SortedStableFunc(slices.Values(mistakes), func(a, b *Error) int { return cmp.Compare(position(a), position(b)) })
	errs := make([]error, len(sorted))
	for i, e := range sorted {
		errs[i] = e
	}
	return errors.Join(errs...)
}

// unwrapJoined returns the errors that errors.Join has joined, or only err if it is not joined.
func unwrapJoined(err error) []error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}
