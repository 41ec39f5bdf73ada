// Package config reads the configuration of a gateway instance: one directive a line, words
// split by white space, # begins a comment. A file is checked in full: every mistake is
// reported with file, line and reason, and a file with a mistake is not used.
//
// The line-based form (Lines, Args, Error) is shared by the other files that operators write.
package config

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// MaxFileSize is the size in bytes above which a file is rejected.
const MaxFileSize = 1 << 20

// Line is a directive and its arguments. Words is never empty.
type Line struct {
	Number int // counted from 1
	Words  []string
}

// Lines splits a file of the line-based form into its directives; empty lines and comments are
// left out. The error joins one Error for each line that is not text.
func Lines(file string, data []byte) ([]Line, error) {
	lines, mistakes := splitLines(file, data)
	return lines, joinErrors(mistakes)
}

func splitLines(file string, data []byte) (lines []Line, mistakes []*Error) {
	if len(data) > MaxFileSize {
		return nil, []*Error{{file, 0, fmt.Sprintf("%d bytes, at most %d are read", len(data), MaxFileSize)}}
	}
	for i, text := range strings.Split(string(data), "\n") {
		number := i + 1
		text, _, _ = strings.Cut(text, "#")
		if strings.ContainsFunc(text, isNotText) {
			mistakes = append(mistakes, &Error{file, number, "holds a control character or is not UTF-8"})
			continue
		}
		if words := strings.Fields(text); len(words) > 0 {
			lines = append(lines, Line{number, words})
		}
	}
	return lines, mistakes
}

// isNotText reports characters that do not belong in a text file. Invalid UTF-8 decodes to utf8.RuneError.
func isNotText(r rune) bool {
	if r == '\t' || r == '\r' {
		return false
	}
	return r < ' ' || r == utf8.RuneError
}
