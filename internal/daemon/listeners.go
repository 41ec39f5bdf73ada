package daemon

import (
	"golang.org/x/net/bpf"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/eventloop"
)

// OpenListeners opens the listeners that the workers of a configuration share. The returned loop only
// holds them and is not run.
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

// listen opens the daemon's own listeners. If filter is nil, known clients share the listen
// queue with all other clients.
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

// knownClientFilter returns the BPF program by which the kernel puts the connections of known clients
// into a listen queue of their own, which a flood of connections from other clients cannot fill. See
// admission.Config.KnownClientFilter for the cases in which it is nil.
func knownClientFilter(c *config.Config) []bpf.RawInstruction {
	return c.Admission.KnownClientFilter(admission.NetworkHeader)
}
