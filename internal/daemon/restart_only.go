package daemon

import (
	"log/slog"
	"strings"

	"maddergap/internal/config"
)

// changesWithoutEffect returns the directives that differ between the configuration at the start and the
// reloaded configuration c, and that take effect only with a restart although a reload accepts them.
func changesWithoutEffect(started, c *config.Config) (directives []string) {
	add := func(directive string, changed bool) {
		if changed {
			directives = append(directives, directive)
		}
	}
	add("seed", c.Seed != started.Seed)
	add("log-requests", c.Telemetry.LogRequests != started.Telemetry.LogRequests)
	add("learn", c.Admission.KnownClients.LearnSeconds != started.Admission.KnownClients.LearnSeconds)
	add("forget", c.Admission.KnownClients.HalfLife != started.Admission.KnownClients.HalfLife)
	return directives
}

// logChangesWithoutEffect logs the settings that a reload accepted and that have no effect before a
// restart, so that operators do not assume that they are in effect.
func logChangesWithoutEffect(log *slog.Logger, settings []string) {
	if len(settings) > 0 {
		log.Warn("needs a restart", "settings", strings.Join(settings, ", "))
	}
}
