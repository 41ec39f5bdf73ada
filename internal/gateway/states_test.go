package gateway

import (
	"fmt"
	"testing"
)

// Verifies that each state has a name, and that no two states of a type share one. A missing
// name would panic when the state is logged, and a shared one would be misleading.
func TestStateNames(t *testing.T) {
	states := map[string][]fmt.Stringer{
		"operation":       {Dial, Flush, Read, Pause, Resume, CloseWrite, Close, Abort},
		"outcome":         {Served, Rejected, Failed, ClientDisconnected, Dropped, AnsweredLocally},
		"client phase":    {clientOpen, clientClosing, clientOverflowed, clientDiscarding, clientLingering},
		"peer":            {peerConnected, peerHalfClosed, peerDisconnected},
		"client input":    {inputDiscarded, inputHeader, inputBody, inputPipelined},
		"node connection": {nodeDialing, nodeIdle, nodeCooldown, nodeAwaitingResponse, nodeReadingBody},
		"intake":          {intakeOpen, intakeDraining, intakeClosed, intakeAborted},
	}
	for kind, values := range states {
		names := map[string]bool{}
		for _, value := range values {
			name := value.String()
			if name == "" || names[name] {
				t.Errorf("%s: the name %q is empty or belongs to two states", kind, name)
			}
			names[name] = true
		}
	}
}
