package gateway

import "flag"

// A fixed seed makes the random histories the same in every run. -rapid.seed=0 draws new ones.
func init() { flag.Set("rapid.seed", "20261201") }
