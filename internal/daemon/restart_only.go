package daemon

import (
	"log/slog"
	"strings"

	"maddergap/internal/config"
)

// changesWithoutEffect returns the directives by which a configuration that is reloaded differs
// from the one of the start, and which take effect at a restart only though a reload accepts
// them.
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

// logChangesWithoutEffect names what was accepted and has no effect yet. Guards against an
// operator who believes in a setting that is not in force.
func logChangesWithoutEffect(log *slog.Logger, settings []string) {
	if len(settings) > 0 {
		log.Warn("needs a restart", "settings", strings.Join(settings, ", "))
	}
}
