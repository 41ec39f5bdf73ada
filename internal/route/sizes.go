package route

import "github.com/cespare/xxhash/v2"

// sizeCache remembers the sizes of resources that responses showed. It is direct-mapped: a
// path replaces another with the same slot. A forgotten size costs no more than a worse
// estimate of units.
type sizeCache struct{ entries []sizeEntry }

type sizeEntry struct {
	hash        uint64
	sizePlusOne int64 // so that the zero value is an empty entry
}

func newSizeCache(entries int) *sizeCache { return &sizeCache{make([]sizeEntry, entries)} }

func (c *sizeCache) get(path string) (size int64, ok bool) {
	hash := xxhash.Sum64String(path)
	e := c.entries[hash%uint64(len(c.entries))]
	return e.sizePlusOne - 1, e.hash == hash && e.sizePlusOne > 0
}

func (c *sizeCache) put(path string, size int64) {
	hash := xxhash.Sum64String(path)
	c.entries[hash%uint64(len(c.entries))] = sizeEntry{hash: hash, sizePlusOne: size + 1}
}

// LearnSize notes the size of a resource in bytes, as a response showed it.
func (t *Table) LearnSize(path string, size int64) { t.sizes.put(path, size) }
