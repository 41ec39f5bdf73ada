package route

import "github.com/cespare/xxhash/v2"

// sizeCache is a direct-mapped cache of the sizes of resources, as seen in responses. A path replaces
// another path with the same slot. The only effect of a lost entry is a worse estimate of a read's cost.
type sizeCache struct{ entries []sizeEntry }

// sizeEntry is a slot of a sizeCache. The zero value is an empty slot.
type sizeEntry struct {
	hash        uint64 // hash of the path
	sizePlusOne int64  // size in bytes plus 1; 0 for an empty slot
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

// LearnSize records the size of a resource, in bytes, from a response.
func (t *Table) LearnSize(path string, size int64) { t.sizes.put(path, size) }
