package daemon

import (
	"golang.org/x/net/bpf"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/eventloop"
)

// OpenListeners opens the listeners of a configuration for workers to share, on a loop that
// serves nothing itself.
func OpenListeners(c *config.Config) (*eventloop.Loop, error) {
	loop, err := eventloop.New(0, 0)
	if err != nil {
		return nil, err
	}
	for _, addr := range c.Listen {
		if _, err := loop.Listen(addr, knownClientFilter(c)); err != nil {
			loop.Close()
			return nil, err
		}
	}
	return loop, nil
}

// listen opens the daemon's own listeners. Without a filter, known clients have no queue of their own.
func (d *Daemon) listen(filter []bpf.RawInstruction) error {
	for _, addr := range d.config.Listen {
		bound, err := d.loop.Listen(addr, filter)
		if err != nil {
			return err
		}
		d.addrs = append(d.addrs, bound)
	}
	return nil
}

// knownClientFilter is the kernel's program that puts the connections of known clients into a
// listen queue of their own, so that a flood of others does not fill it.
func knownClientFilter(c *config.Config) []bpf.RawInstruction {
	return c.Admission.KnownClientFilter(admission.NetworkHeader)
}
