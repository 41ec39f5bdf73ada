package daemon

import (
	"time"

	"maddergap/internal/gateway"
	"maddergap/scheduler"
)

// Option changes how a Daemon is built.
type Option func(*options)

// options holds the values that Options set.
type options struct {
	newScheduler      SchedulerFactory
	nodeStateInterval time.Duration // see WithNodeStateLog
}

// newOptions returns the defaults with opts applied in order.
func newOptions(opts []Option) *options {
	o := &options{newScheduler: defaultScheduler}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// SchedulerFactory returns a new scheduler for a gateway. It returns an error if the settings are not
// valid.
type SchedulerFactory func(s scheduler.Settings, seed uint64, now scheduler.Time) (gateway.Scheduler, error)

func defaultScheduler(s scheduler.Settings, seed uint64, now scheduler.Time) (gateway.Scheduler, error) {
	return scheduler.New(s, seed, now)
}

// WithScheduler sets the factory of the scheduler, for comparisons and tests. If f is nil, the default
// scheduler is used.
func WithScheduler(f SchedulerFactory) Option {
	return func(o *options) {
		if f != nil {
			o.newScheduler = f
		}
	}
}

// WithNodeStateLog logs the scheduler's state of each node and the connections to it at an interval. 0,
// the default, disables this log. The option has an effect only for an instance on a platform.
func WithNodeStateLog(interval time.Duration) Option {
	return func(o *options) { o.nodeStateInterval = interval }
}
