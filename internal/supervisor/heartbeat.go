package supervisor

import (
	"errors"
	"os"
	"time"
)

// HeartbeatInterval is the time between two heartbeats of a worker.
const HeartbeatInterval = time.Second

// ErrParentExited is returned by SendHeartbeats if a heartbeat cannot be written: the supervisor, which
// reads from the other end of the pipe, has exited.
var ErrParentExited = errors.New("the supervisor has exited")

// SendHeartbeats writes a heartbeat to a worker's pipe at once and then every HeartbeatInterval. It
// skips a heartbeat if alive returns false. alive has to report whether the worker's event loop makes
// progress, so that a hung worker sends no heartbeats. SendHeartbeats returns nil when quit is closed,
// and ErrParentExited if a write fails.
func SendHeartbeats(pipe *os.File, alive func() bool, quit <-chan struct{}) error {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		if alive() {
			if _, err := pipe.Write([]byte{1}); err != nil {
				return ErrParentExited
			}
		}
		select {
		case <-ticker.C:
		case <-quit:
			return nil
		}
	}
}
