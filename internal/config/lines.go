// Package config reads the configuration file of a gateway instance. Each line contains one directive,
// words are separated by white space, and # begins a comment. A file is checked completely: every mistake
// is reported with file, line and reason. A file with a mistake is rejected.
//
// The line-based format (Lines, Args, Error) is also used for other files that operators write.
package config

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// MaxFileSize is the maximum size of a file in bytes.
const MaxFileSize = 1 << 20

// Line is a line with a directive and its arguments.
type Line struct {
	Number int      // line number, from 1
	Words  []string // name of the directive and its arguments; never empty
}

// Lines splits a file of the line-based format into its directives. Empty lines and comments are left
// out. The error joins an Error for each line that is not valid text, or consists of one Error for a file
// that is too large.
func Lines(file string, data []byte) ([]Line, error) {
	lines, mistakes := splitLines(file, data)
	return lines, joinErrors(mistakes)
}

// splitLines is like Lines but returns the mistakes one by one.
func splitLines(file string, data []byte) (lines []Line, mistakes []*Error) {
	if len(data) > MaxFileSize {
		return nil, []*Error{{file, 0, fmt.Sprintf("the file has %d bytes, more than the limit of %d", len(data), MaxFileSize)}}
	}
	for i, text := range strings.Split(string(data), "\n") {
		number := i + 1
		text, _, _ = strings.Cut(text, "#")
		if strings.ContainsFunc(text, isNotText) {
			mistakes = append(mistakes, &Error{file, number, "contains a control character or is not valid UTF-8"})
			continue
		}
		if words := strings.Fields(text); len(words) > 0 {
			lines = append(lines, Line{number, words})
		}
	}
	return lines, mistakes
}

// isNotText reports whether r is not allowed in a text file. Invalid UTF-8 is decoded to utf8.RuneError.
func isNotText(r rune) bool {
	if r == '\t' || r == '\r' {
		return false
	}
	return r < ' ' || r == utf8.RuneError
}
