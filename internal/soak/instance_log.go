package soak

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
)

// maxLogLine is the longest line of a log that is read, in bytes.
const maxLogLine = 1 << 20

// loggedViolations returns the lines of an instance's log that tell of a violated invariant, of a
// request that shutdown aborted, or of a crash, each after the name of the file.
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

func isViolation(line string) bool {
	return strings.Contains(line, `"invariant violated"`) ||
		strings.Contains(line, "request aborted at shutdown") ||
		strings.HasPrefix(line, "panic:") ||
		strings.HasPrefix(line, "fatal error:")
}
