package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"slices"

	"maddergap/internal/eventloop"
	"maddergap/internal/platform"
)

// platformRole is the role of an instance on a platform. The instance gets its configuration from the
// platform and its nodes from discovery, and its clients use the platform's protocol.
type platformRole struct {
	config *platform.Config
	load   func() (*platform.Config, error) // reads the configuration again
	source *discoverySource
}

// NewPlatform returns an instance on a platform with the configuration c. load is called by each
// reload to read the configuration again.
func NewPlatform(c *platform.Config, load func() (*platform.Config, error), log *slog.Logger, opts ...Option) (*Daemon, error) {
	if err := checkDescriptorLimit(c.Bounds.RequiredDescriptors()); err != nil {
		return nil, fmt.Errorf("%s: the bounds: %w", c.Gateway.File, err)
	}
	loop, err := eventloop.NewWithCalls(newSyscalls(c.Gateway), c.Bounds.MaxAcceptedConns(), c.Bounds.MaxRejectionConns)
	if err != nil {
		return nil, err
	}
	o := newOptions(opts)
	source := newDiscoverySource(c, log, o.nodeStateInterval)
	r := &platformRole{config: c, load: load, source: source}
	d := &Daemon{config: c.Gateway, log: log, loop: loop, iterations: newIterationStats(log), role: r, members: source}
	if err := d.open(o, c.Gateway.Seed); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// openListeners opens listeners without a filter for known clients: on a platform, no client is known
// before it connects.
func (r *platformRole) openListeners(d *Daemon) error { return d.listen(nil) }

// reload applies a new discovery address, because discovery may no longer be reachable at the old one.
// All other changes need a restart. If listen, the scheduler's settings or the limits have changed,
// the new configuration is rejected as a whole; other changes are logged as having no effect.
func (r *platformRole) reload(d *Daemon) error {
	c, err := r.load()
	if err != nil {
		return err
	}
	if !slices.Equal(c.Gateway.Listen, d.config.Listen) || !reflect.DeepEqual(c.Gateway.Scheduler, d.config.Scheduler) || c.Bounds != r.config.Bounds {
		return errors.New("listen, settings and limits change with a restart only")
	}
	if c.DiscoveryAddr != r.config.DiscoveryAddr {
		d.log.Info("discovery address changed", "from", r.config.DiscoveryAddr, "to", c.DiscoveryAddr)
		r.source.client.SetAddress(d.loop.Now(), c.DiscoveryAddr)
		r.config.DiscoveryAddr = c.DiscoveryAddr
	}
	logChangesWithoutEffect(d.log, r.config.ChangesWithoutEffect(c))
	return nil
}

func (r *platformRole) background(*Daemon, <-chan struct{}) {}
