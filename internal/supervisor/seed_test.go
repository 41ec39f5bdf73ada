package supervisor

import "flag"

// init makes the random histories of rapid the same in every run; -rapid.seed=0 draws new ones.
func init() { flag.Set("rapid.seed", "20261201") }
