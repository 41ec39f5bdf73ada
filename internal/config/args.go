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

// maxDuration is the longest duration that a file may contain.
const maxDuration = 365 * 24 * time.Hour

// Args reads the arguments of a directive one after the other. It records the first mistake; the values
// that it returns after a mistake are meaningless. Error messages refer to an argument by the
// name that was passed to the method.
type Args struct {
	words []string // remaining arguments
	err   error    // first mistake
}

// keywords maps each keyword of a directive to the function that reads its value.
type keywords map[string]func(keyword string)

// NewArgs returns the arguments of a line, without the name of the directive.
func NewArgs(l Line) *Args { return &Args{words: l.Words[1:]} }

// Errorf records a mistake unless one has been recorded already.
func (a *Args) Errorf(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

// Failed reports whether a mistake was recorded.
func (a *Args) Failed() bool { return a.err != nil }

// Err returns the first mistake. Arguments that were not read count as a mistake.
func (a *Args) Err() error {
	if a.err == nil && len(a.words) > 0 {
		a.Errorf("%q is an unexpected argument", a.words[0])
	}
	return a.err
}

// More reports whether there are more arguments and no mistake was recorded.
func (a *Args) More() bool { return a.err == nil && len(a.words) > 0 }

// Word reads one word.
func (a *Args) Word(name string) string {
	if len(a.words) == 0 {
		a.Errorf("%s is missing", name)
		return ""
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w
}

// pairs reads pairs of a keyword and its value up to the last argument. A keyword must not occur twice,
// and the required keywords must occur.
func (a *Args) pairs(readers keywords, required ...string) {
	seen := map[string]bool{}
	for a.More() {
		keyword := a.Word("keyword")
		readValue := readers[keyword]
		switch {
		case readValue == nil:
			names := slices.Sorted(maps.Keys(readers))
			a.Errorf("unknown keyword %q, want one of %s", keyword, strings.Join(names, ", "))
		case seen[keyword]:
			a.Errorf("%s is given twice", keyword)
		default:
			seen[keyword] = true
			readValue(keyword)
		}
	}
	for _, keyword := range required {
		if !seen[keyword] {
			a.Errorf("%s is missing", keyword)
		}
	}
}

// Int reads a whole number from low to high.
func (a *Args) Int(name string, low, high int) int {
	w := a.Word(name)
	n, err := strconv.Atoi(w)
	if a.err == nil && (err != nil || n < low || n > high) {
		a.Errorf("%s is %q, want a whole number from %d to %d", name, w, low, high)
	}
	return n
}

// Float reads a number from 0 to 1e12.
func (a *Args) Float(name string) float64 {
	w := a.Word(name)
	x, err := strconv.ParseFloat(w, 64)
	if a.err == nil && (err != nil || !(x >= 0 && x <= 1e12)) {
		a.Errorf("%s is %q, want a number from 0 to 1e12", name, w)
	}
	return x
}

// Fraction reads a number from 0 to 1.
func (a *Args) Fraction(name string) float64 {
	x := a.Float(name)
	if a.err == nil && x > 1 {
		a.Errorf("%s is %v, want a share from 0 to 1", name, x)
	}
	return x
}

// Duration reads a duration of at least low, such as 150ms or 2s.
func (a *Args) Duration(name string, low time.Duration) time.Duration {
	w := a.Word(name)
	d, err := time.ParseDuration(w)
	if a.err == nil && (err != nil || d < low || d > maxDuration) {
		a.Errorf("%s is %q, want a time of at least %v, such as 150ms or 2s", name, w, low)
	}
	return d
}

// Bytes reads a size of at least low bytes, such as 512, 64k, 16m or 1g.
func (a *Args) Bytes(name string, low int64) int64 {
	w := a.Word(name)
	shift, digits := 0, w
	if n := len(w); n > 0 {
		if i := strings.IndexByte("kmg", w[n-1]|0x20); i >= 0 {
			shift, digits = 10*(i+1), w[:n-1]
		}
	}
	x, err := strconv.ParseInt(digits, 10, 64)
	if a.err == nil && (err != nil || x < 0 || x > math.MaxInt64>>(shift+10) || x<<shift < low) {
		a.Errorf("%s is %q, want a size of at least %d bytes, such as 512, 64k or 16m", name, w, low)
	}
	return x << shift
}

// BytesUpTo reads a size as Bytes does, and reduces it to high if it is larger.
func (a *Args) BytesUpTo(name string, low, high int64) int {
	return int(min(a.Bytes(name, low), high))
}

// OneOf reads one of the given words and returns its index among them.
func (a *Args) OneOf(name string, words ...string) int {
	w := a.Word(name)
	for i, x := range words {
		if x == w {
			return i
		}
	}
	a.Errorf("%s is %q, want one of %s", name, w, strings.Join(words, ", "))
	return 0
}

// IntList reads a list of whole numbers from 0 to high and of ranges of such numbers, such as 0,1,4-6.
func (a *Args) IntList(name string, high int) (numbers []int) {
	w := a.Word(name)
	for part := range strings.SplitSeq(w, ",") {
		from, to, ranged := strings.Cut(part, "-")
		if !ranged {
			to = from
		}
		lo, err1 := strconv.Atoi(from)
		hi, err2 := strconv.Atoi(to)
		if err1 != nil || err2 != nil || lo < 0 || hi < lo || hi > high {
			a.Errorf("%s is %q, want numbers up to %d, such as 0,1 or 0-3", name, w, high)
			return nil
		}
		for n := lo; n <= hi && len(numbers) <= high; n++ {
			numbers = append(numbers, n)
		}
	}
	return numbers
}
