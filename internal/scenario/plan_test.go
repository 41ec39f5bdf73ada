package scenario

import (
	"reflect"
	"testing"
)

// Verifies that the same seed gives the same plan, and that another seed gives other requests.
func TestGeneratePlanIsDeterministic(t *testing.T) {
	a, b := GeneratePlan(5, Short), GeneratePlan(5, Short)
	if !reflect.DeepEqual(a, b) {
		t.Error("two plans of the same seed differ")
	}
	if c := GeneratePlan(6, Short); reflect.DeepEqual(a.Requests, c.Requests) {
		t.Error("plans of different seeds have the same requests")
	}
}
