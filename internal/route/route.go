// Package route determines what a request is before the scheduler decides about it: the
// location of its path, its class, its size in units, its timeout and its ordering key. It
// does no I/O and reads no clock: the same request after the same history of responses gives
// the same result.
package route

import "maddergap/internal/config"

// Table routes by one configuration. It is not safe for concurrent use.
type Table struct {
	config  *config.Config
	volumes map[string]int // by name, the index in the configuration
	sizes   *sizeCache
}

// NewTable returns the table of a checked configuration. A table that replaces another takes
// over the sizes that were learned, unless their number has changed.
func NewTable(c *config.Config, old *Table) *Table {
	t := &Table{config: c, volumes: map[string]int{}}
	for i, v := range c.Volumes {
		t.volumes[v.Name] = i
	}
	if old != nil && len(old.sizes.entries) == c.Limits.SizeEntries {
		t.sizes = old.sizes
	} else {
		t.sizes = newSizeCache(c.Limits.SizeEntries)
	}
	return t
}
