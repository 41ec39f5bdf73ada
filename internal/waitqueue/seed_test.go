package waitqueue

import "flag"

// init fixes rapid's seed, so that every run draws the same random operations; -rapid.seed=0 draws new ones.
func init() { flag.Set("rapid.seed", "20261201") }
