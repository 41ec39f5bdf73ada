package scenario

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/fakenode"
)

// maxRecordLine is the maximum length of a line in a node's record file, in bytes.
const maxRecordLine = 1 << 20

// nowMicros returns the current time in the unit of records, microseconds of Unix time.
func nowMicros() int64 { return time.Now().UnixMicro() }

// readNodeRecord reads a node's record file and leaves out the requests of storeObjects.
func readNodeRecord(file string) ([]fakenode.Entry, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var entries []fakenode.Entry
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxRecordLine)
	for number := 1; lines.Scan(); number++ {
		var entry fakenode.Entry
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, number, err)
		}
		if entry.Traceparent != preloadTrace {
			entries = append(entries, entry)
		}
	}
	return entries, lines.Err()
}

// writeClientRecords writes the clients' records as JSON, one record per line.
func writeClientRecords(file string, records []audit.RequestRecord) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	buffered := bufio.NewWriter(f)
	encoder := json.NewEncoder(buffered)
	for i := range records {
		if err := encoder.Encode(&records[i]); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	return errors.Join(buffered.Flush(), f.Close())
}
