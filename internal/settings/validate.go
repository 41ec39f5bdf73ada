package settings

import (
	"errors"
	"fmt"
)

// Error describes an invalid value in the settings object.
type Error struct {
	Key     string // JSON key; for list elements with index and name, as in "classes[1] read"
	Problem string // text that follows the key in the message, with its leading space or colon
}

func (e *Error) Error() string { return "settings: " + e.Key + e.Problem }

// problems collects the errors of a settings object.
type problems []error

func (p *problems) add(key, format string, args ...any) {
	*p = append(*p, &Error{Key: key, Problem: fmt.Sprintf(format, args...)})
}

// Validate returns nil, or a joined error with one *Error for each invalid value. It rejects unknown
// effects because Settings would convert them to the zero value, scheduler.Safe, and writes could
// then run twice.
func (site *Site) Validate() error {
	var p problems
	for i := range site.Classes {
		site.Classes[i].validate(&p, i)
	}
	if site.Instances < 1 {
		p.add("fleetSize", " is %d, want at least 1", site.Instances)
	}
	if len(site.Classes) == 0 {
		p.add("classes", " is empty")
	}
	for i := range site.Plans {
		site.Plans[i].validate(&p, i)
	}
	site.Workload.validate(&p, len(site.Classes))
	return errors.Join(p...)
}

func (c *Class) validate(p *problems, i int) {
	key := fmt.Sprintf("classes[%d] %s", i, c.Name)
	if _, known := effects[c.Effect]; !known {
		p.add(key, ": effect %q is unknown", c.Effect)
	}
	if _, known := deduplicationScopes[c.DeduplicationScope]; !known && c.Effect == "dedup" {
		p.add(key, ": group %q is unknown", c.DeduplicationScope)
	}
	if c.Name == "" || c.LatencyObjective <= 0 || c.PriorityWeight < 0 {
		p.add(fmt.Sprintf("classes[%d] %q", i, c.Name), ": want a name, a target above 0 and a gain of at least 0")
	}
}

func (plan *Plan) validate(p *problems, i int) {
	key := fmt.Sprintf("grades[%d]", i)
	if plan.Name == "" {
		p.add(key, " has no name")
	}
	key += " " + plan.Name
	if plan.Limit > 0 && plan.LimitBurst <= 0 {
		p.add(key, ": limitBurst is %v with a ceilingRate of %v, so no request could ever be sent", plan.LimitBurst, plan.Limit)
	}
	for _, field := range [...]struct {
		key   string
		value float64
	}{
		{"nominal", plan.Rate},
		{"guaranteed", plan.Reserve},
		{"shares", plan.Weight},
		{"valueFactor", plan.PriorityFactor},
		{"ceilingRate", plan.Limit},
		{"limitBurst", plan.LimitBurst},
	} {
		if field.value < 0 {
			p.add(key, ": %s is %v, want at least 0", field.key, field.value)
		}
	}
}

func (w *Workload) validate(p *problems, classes int) {
	if n := len(w.Writes); n > 0 && n != classes {
		p.add("familyInfo.writes", " has %d entries, but there are %d classes", n, classes)
	}
	if w.MaxUnits <= 0 || w.MeanUnits <= 0 {
		p.add("familyInfo.unitsTop", " is %v and usualUnits is %v, want both above 0", w.MaxUnits, w.MeanUnits)
	}
}
