package scheduler_test

import "flag"

// Random histories are the same in every run, unless -rapid.seed=0 draws new ones.
func init() { flag.Set("rapid.seed", "20261201") }
