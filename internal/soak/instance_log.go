package soak

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
)

// maxLogLine is the maximum length of a line in a log, in bytes.
const maxLogLine = 1 << 20

// loggedViolations returns the lines of an instance's log that report a violated invariant, a request
// aborted at shutdown, or a crash. Each line is prefixed with the base name of the file.
func loggedViolations(path string) (lines []string, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line := scanner.Text(); isViolation(line) {
			lines = append(lines, filepath.Base(path)+": "+line)
		}
	}
	return lines, scanner.Err()
}

// isViolation reports whether a line of a log is one that loggedViolations returns.
func isViolation(line string) bool {
	return strings.Contains(line, `"invariant violated"`) ||
		strings.Contains(line, "request aborted at shutdown") ||
		strings.HasPrefix(line, "panic:") ||
		strings.HasPrefix(line, "fatal error:")
}
