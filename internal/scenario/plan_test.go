package scenario

import (
	"reflect"
	"testing"
)

// The same seed draws the same plan, and another seed draws other requests.
func TestDrawIsDeterministic(t *testing.T) {
	a, b := Draw(5, Short), Draw(5, Short)
	if !reflect.DeepEqual(a, b) {
		t.Error("two draws of one seed differ")
	}
	if c := Draw(6, Short); reflect.DeepEqual(a.Requests, c.Requests) {
		t.Error("two seeds give the same requests")
	}
}
