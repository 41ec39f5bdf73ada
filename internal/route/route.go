// Package route determines the properties of a request that the scheduler needs: the location of its
// path, its class, its cost in units, its timeout and its ordering key. It does no I/O and reads no
// clock: the result depends only on the request, the configuration and the sizes in earlier responses.
package route

import "maddergap/internal/config"

// Table locates and classifies requests according to a configuration. It is not safe for concurrent use.
type Table struct {
	config  *config.Config
	volumes map[string]int // index of a volume in the configuration, by its name
	sizes   *sizeCache
}

// NewTable returns the table of a checked configuration. old is the table that it replaces, or nil. The
// sizes that old has learned are kept unless the configured number of sizes has changed.
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
