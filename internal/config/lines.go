// Package config reads the configuration of a head: one directive a line, words
// split by white space, # begins a comment. A file is checked in full; every
// mistake is told with file, line and reason, and a file with one is not used.
package config

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxFile bounds a file in bytes.
const MaxFile = 1 << 20

// Error is a fault of one line.
type Error struct {
	File   string
	Line   int // 0: of the file as a whole
	Reason string
}

func (m *Error) Error() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s: %s", m.File, m.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", m.File, m.Line, m.Reason)
}

// Line is a directive: its words, and where it stands.
type Line struct {
	Number int
	Words  []string
}

// Lines splits a file of the line-based form into its directives.
func Lines(file string, data []byte) ([]Line, error) {
	if len(data) > MaxFile {
		return nil, &Error{file, 0, fmt.Sprintf("%d bytes, at most %d are read", len(data), MaxFile)}
	}
	var out []Line
	var errs []error
	for i, text := range strings.Split(string(data), "\n") {
		if j := strings.IndexByte(text, '#'); j >= 0 {
			text = text[:j]
		}
		if strings.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' && r != '\r' || r == 0xfffd }) {
			errs = append(errs, &Error{file, i + 1, "holds a control character or is not UTF-8"})
			continue
		}
		if words := strings.Fields(text); len(words) > 0 {
			out = append(out, Line{i + 1, words})
		}
	}
	return out, errors.Join(errs...)
}

// Args takes a directive's words in turn and keeps the first fault. Arguments
// after the first ones are pairs: a keyword and its value.
type Args struct {
	words []string
	err   error
}

// ArgsOf starts after the directive's own word.
func ArgsOf(l Line) *Args { return &Args{words: l.Words[1:]} }

// Fault keeps a fault, unless there is one.
func (a *Args) Fault(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

// Err returns the first fault; words left over are one.
func (a *Args) Err() error {
	if a.err == nil && len(a.words) > 0 {
		a.Fault("%q is one word too many", a.words[0])
	}
	return a.err
}

// More tells whether words are left and there is no fault.
func (a *Args) More() bool { return a.err == nil && len(a.words) > 0 }

// Word takes a word.
func (a *Args) Word(what string) string {
	if len(a.words) == 0 {
		a.Fault("%s is missing", what)
		return ""
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w
}

// Int takes a whole number in [low, high].
func (a *Args) Int(what string, low, high int) int {
	w := a.Word(what)
	n, err := strconv.Atoi(w)
	if a.err == nil && (err != nil || n < low || n > high) {
		a.Fault("%s is %q, want a whole number from %d to %d", what, w, low, high)
	}
	return n
}

// Float takes a number from 0 to 1e12.
func (a *Args) Float(what string) float64 {
	w := a.Word(what)
	x, err := strconv.ParseFloat(w, 64)
	if a.err == nil && (err != nil || !(x >= 0 && x <= 1e12)) {
		a.Fault("%s is %q, want a number from 0 to 1e12", what, w)
	}
	return x
}

// Share takes a number from 0 to 1.
func (a *Args) Share(what string) float64 {
	x := a.Float(what)
	if a.err == nil && x > 1 {
		a.Fault("%s is %v, want a share from 0 to 1", what, x)
	}
	return x
}

// Duration takes a time of at least low, as 150ms or 2s.
func (a *Args) Duration(what string, low time.Duration) time.Duration {
	w := a.Word(what)
	d, err := time.ParseDuration(w)
	if a.err == nil && (err != nil || d < low || d > 365*24*time.Hour) {
		a.Fault("%s is %q, want a time of %v or more, as 150ms or 2s", what, w, low)
	}
	return d
}

// Bytes takes a size, as 512, 64k, 16m or 1g.
func (a *Args) Bytes(what string, low int64) int64 {
	w := a.Word(what)
	shift, digits := 0, w
	if n := len(w); n > 0 {
		if i := strings.IndexByte("kmg", w[n-1]|0x20); i >= 0 {
			shift, digits = 10*(i+1), w[:n-1]
		}
	}
	x, err := strconv.ParseInt(digits, 10, 64)
	if a.err == nil && (err != nil || x < 0 || x > math.MaxInt64>>(shift+10) || x<<shift < low) {
		a.Fault("%s is %q, want a size of at least %d bytes, as 512, 64k or 16m", what, w, low)
	}
	return x << shift
}

// OneOf takes one of some words and returns its place among them.
func (a *Args) OneOf(what string, words ...string) int {
	w := a.Word(what)
	for i, x := range words {
		if x == w {
			return i
		}
	}
	a.Fault("%s is %q, want one of %s", what, w, strings.Join(words, ", "))
	return 0
}

// Ints takes a list as 0,1,4-6.
func (a *Args) Ints(what string, high int) (out []int) {
	w := a.Word(what)
	for part := range strings.SplitSeq(w, ",") {
		from, to, ranged := strings.Cut(part, "-")
		if !ranged {
			to = from
		}
		lo, err1 := strconv.Atoi(from)
		hi, err2 := strconv.Atoi(to)
		if err1 != nil || err2 != nil || lo < 0 || hi < lo || hi > high {
			a.Fault("%s is %q, want numbers up to %d, as 0,1 or 0-3", what, w, high)
			return nil
		}
		for n := lo; n <= hi && len(out) <= high; n++ {
			out = append(out, n)
		}
	}
	return out
}
