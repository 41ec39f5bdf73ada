package config

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Error is a mistake in a file of the line-based form. An operator finds it by file and line.
type Error struct {
	File   string
	Line   int // counted from 1; 0 if it concerns the file as a whole
	Reason string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// joinErrors joins mistakes in the order of their lines, those of the file as a whole last.
// Mistakes of one line stay in the order in which they were found.
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

// unjoin returns the errors that errors.Join put together, or the error itself.
func unjoin(err error) []error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}
