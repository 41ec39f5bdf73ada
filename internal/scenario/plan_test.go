package scenario

import (
	"reflect"
	"testing"
)

// Verifies that the same seed gives the same plan, and that another seed gives other requests.
func TestDrawIsDeterministic(t *testing.T) {
	a, b := Draw(5, Short), Draw(5, Short)
	if !reflect.DeepEqual(a, b) {
		t.Error("two plans of the same seed differ")
	}
	if c := Draw(6, Short); reflect.DeepEqual(a.Requests, c.Requests) {
		t.Error("plans of different seeds have the same requests")
	}
}
