package supervisor

import "flag"

// init fixes the seed of rapid, so that every run generates the same histories. -rapid.seed=0
// generates new ones.
func init() { flag.Set("rapid.seed", "20261201") }
