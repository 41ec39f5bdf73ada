package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxDuration is the longest time that a file may give.
const maxDuration = 365 * 24 * time.Hour

// Args takes a directive's arguments in turn. The first mistake is kept; what is taken after it
// has no meaning. Each method's what names the argument in a message.
type Args struct {
	words []string
	err   error
}

// keywords take the value that follows a keyword, by the keyword.
type keywords map[string]func(keyword string)

// NewArgs starts after the directive's own word.
func NewArgs(l Line) *Args { return &Args{words: l.Words[1:]} }

// Errorf records a mistake, unless there is one already.
func (a *Args) Errorf(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

// Failed reports whether a mistake was recorded.
func (a *Args) Failed() bool { return a.err != nil }

// Err returns the first mistake; arguments left over are one.
func (a *Args) Err() error {
	if a.err == nil && len(a.words) > 0 {
		a.Errorf("%q is an unexpected argument", a.words[0])
	}
	return a.err
}

// More reports whether arguments are left and no mistake was recorded.
func (a *Args) More() bool { return a.err == nil && len(a.words) > 0 }

// Word takes one word.
func (a *Args) Word(what string) string {
	if len(a.words) == 0 {
		a.Errorf("%s is missing", what)
		return ""
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w
}

// pairs takes pairs of a keyword and its value until the words end. Each keyword may stand
// once; the required ones must.
func (a *Args) pairs(take keywords, required ...string) {
	seen := map[string]bool{}
	for a.More() {
		keyword := a.Word("keyword")
		value := take[keyword]
		switch {
		case value == nil:
			names := slices.Sorted(maps.Keys(take))
			a.Errorf("unknown keyword %q, want one of %s", keyword, strings.Join(names, ", "))
		case seen[keyword]:
			a.Errorf("%s is given twice", keyword)
		default:
			seen[keyword] = true
			value(keyword)
		}
	}
	for _, keyword := range required {
		if !seen[keyword] {
			a.Errorf("%s is missing", keyword)
		}
	}
}

// Int takes a whole number in [low, high].
func (a *Args) Int(what string, low, high int) int {
	w := a.Word(what)
	n, err := strconv.Atoi(w)
	if a.err == nil && (err != nil || n < low || n > high) {
		a.Errorf("%s is %q, want a whole number from %d to %d", what, w, low, high)
	}
	return n
}

// Float takes a number from 0 to 1e12.
func (a *Args) Float(what string) float64 {
	w := a.Word(what)
	x, err := strconv.ParseFloat(w, 64)
	if a.err == nil && (err != nil || !(x >= 0 && x <= 1e12)) {
		a.Errorf("%s is %q, want a number from 0 to 1e12", what, w)
	}
	return x
}

// Fraction takes a number from 0 to 1.
func (a *Args) Fraction(what string) float64 {
	x := a.Float(what)
	if a.err == nil && x > 1 {
		a.Errorf("%s is %v, want a share from 0 to 1", what, x)
	}
	return x
}

// Duration takes a time of at least low, as 150ms or 2s.
func (a *Args) Duration(what string, low time.Duration) time.Duration {
	w := a.Word(what)
	d, err := time.ParseDuration(w)
	if a.err == nil && (err != nil || d < low || d > maxDuration) {
		a.Errorf("%s is %q, want a time of %v or more, as 150ms or 2s", what, w, low)
	}
	return d
}

// Bytes takes a size of at least low bytes, as 512, 64k, 16m or 1g.
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
		a.Errorf("%s is %q, want a size of at least %d bytes, as 512, 64k or 16m", what, w, low)
	}
	return x << shift
}

// BytesUpTo takes a size as Bytes does; a larger one counts as high.
func (a *Args) BytesUpTo(what string, low, high int64) int {
	return int(min(a.Bytes(what, low), high))
}

// OneOf takes one of some words and returns its index among them.
func (a *Args) OneOf(what string, words ...string) int {
	w := a.Word(what)
	for i, x := range words {
		if x == w {
			return i
		}
	}
	a.Errorf("%s is %q, want one of %s", what, w, strings.Join(words, ", "))
	return 0
}

// IntList takes a list of whole numbers from 0 to high and of ranges of them, as 0,1,4-6.
func (a *Args) IntList(what string, high int) (out []int) {
	w := a.Word(what)
	for part := range strings.SplitSeq(w, ",") {
		from, to, ranged := strings.Cut(part, "-")
		if !ranged {
			to = from
		}
		lo, err1 := strconv.Atoi(from)
		hi, err2 := strconv.Atoi(to)
		if err1 != nil || err2 != nil || lo < 0 || hi < lo || hi > high {
			a.Errorf("%s is %q, want numbers up to %d, as 0,1 or 0-3", what, w, high)
			return nil
		}
		for n := lo; n <= hi && len(out) <= high; n++ {
			out = append(out, n)
		}
	}
	return out
}
