package supervisor

import (
	"errors"
	"os"
	"time"
)

// HeartbeatInterval is how often a worker sends a heartbeat.
const HeartbeatInterval = time.Second

// ErrParentGone is returned when the other end of a worker's pipe is closed.
var ErrParentGone = errors.New("the supervisor is gone")

// SendHeartbeats writes a heartbeat to a worker's pipe in each HeartbeatInterval, until quit
// closes. alive is called each time and must answer for the loop that does the work, so that a
// worker that hangs sends none. It returns ErrParentGone when the other end is closed.
func SendHeartbeats(pipe *os.File, alive func() bool, quit <-chan struct{}) error {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		if alive() {
			if _, err := pipe.Write([]byte{1}); err != nil {
				return ErrParentGone
			}
		}
		select {
		case <-ticker.C:
		case <-quit:
			return nil
		}
	}
}
