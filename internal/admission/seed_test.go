package admission

import "flag"

// A fixed seed makes rapid draw the same values in every run; -rapid.seed=0 draws others.
func init() { flag.Set("rapid.seed", "20261201") }
