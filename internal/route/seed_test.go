package route

import "flag"

// Random tests use the same seed in every run. With -rapid.seed=0 each run uses a new seed.
func init() { flag.Set("rapid.seed", "20261201") }
