package soak

import (
	"testing"
	"time"
)

// Verifies that options out of range are rejected.
func TestValidateRejectsOptions(t *testing.T) {
	for _, c := range []struct {
		name    string
		options Options
	}{
		{"short duration", Options{Duration: time.Second, Instances: 4, Nodes: 8}},
		{"long duration", Options{Duration: time.Hour, Instances: 4, Nodes: 8}},
		{"no instance", Options{Duration: 10 * time.Second, Nodes: 8}},
		{"odd number of nodes", Options{Duration: 10 * time.Second, Instances: 4, Nodes: 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.options.Validate() == nil {
				t.Errorf("got no error for options %+v", c.options)
			}
		})
	}
}
