package config

import (
	"fmt"
	"os"
)

// Load reads and checks a configuration file. It returns an error of package os or of Parse.
func Load(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse parses and checks the text of a configuration file. The error joins an Error for each mistake, in
// the order of the lines; mistakes of the file as a whole are last.
func Parse(file string, data []byte) (*Config, error) {
	p := newParser(file)
	lines, lineErrors := splitLines(file, data)
	p.errs = append(p.errs, lineErrors...)
	for _, l := range lines {
		p.applyDirective(l)
	}
	p.resolveReferences()
	p.check()
	if len(p.errs) > 0 {
		return nil, joinErrors(p.errs)
	}
	return p.c, nil
}

// parser builds a configuration from the lines of a file and collects the mistakes.
type parser struct {
	c              *Config        // configuration that is being built
	classes, plans map[string]int // index in the configuration, by name
	classRefs      []reference    // uses of classes
	planRefs       []reference    // uses of plans
	// lineOf contains the line of each directive or name that may occur only once, and the last line of
	// the directive known.
	lineOf   map[string]int
	mistaken map[string]bool // directives with a mistake in one of their lines
	errs     []*Error        // mistakes in the order in which they were found
}

// reference is the use of a class or plan, which may be defined in a later line.
type reference struct {
	line  int
	name  string
	apply func(index int) // called with the index of the class or plan
}

func newParser(file string) *parser {
	return &parser{c: defaults(file), classes: map[string]int{}, plans: map[string]int{}, lineOf: map[string]int{}, mistaken: map[string]bool{}}
}

// errorf records a mistake in a line, or in the file as a whole if line is 0.
func (p *parser) errorf(line int, format string, args ...any) {
	p.errs = append(p.errs, &Error{p.c.File, line, fmt.Sprintf(format, args...)})
}

// checkUnique records the line of an item that may occur only once. If it has occurred before, it records
// a mistake and returns false.
func (p *parser) checkUnique(line int, item string) bool {
	if first, ok := p.lineOf[item]; ok {
		p.errorf(line, "%s is already given in line %d", item, first)
		return false
	}
	p.lineOf[item] = line
	return true
}

// applyDirective applies the directive of a line to the configuration.
func (p *parser) applyDirective(l Line) {
	name := l.Words[0]
	apply, known := directives[name]
	if !known {
		p.errorf(l.Number, "unknown directive %.40q", name)
		return
	}
	if !repeatable[name] && !p.checkUnique(l.Number, name) {
		return
	}
	args := NewArgs(l)
	before := *p.c
	apply(p, l.Number, args)
	if err := args.Err(); err != nil {
		p.errorf(l.Number, "%s: %v", name, err)
		p.mistaken[name] = true
		if !repeatable[name] {
			*p.c = before // no check of several lines may take a value that is out of its range
		}
	}
}

// anyMistaken reports whether a directive has a mistake, so that a check that compares it with others
// would report what only follows from that.
func (p *parser) anyMistaken(directives ...string) bool {
	for _, name := range directives {
		if p.mistaken[name] {
			return true
		}
	}
	return false
}

// resolveReferences resolves the uses of classes and plans. It is called after the last line, when all
// classes and plans are defined.
func (p *parser) resolveReferences() {
	resolve := func(kind string, defined map[string]int, refs []reference) {
		for _, ref := range refs {
			index, ok := defined[ref.name]
			if !ok {
				p.errorf(ref.line, "there is no %s %q", kind, ref.name)
				continue
			}
			ref.apply(index)
		}
	}
	resolve("class", p.classes, p.classRefs)
	resolve("plan", p.plans, p.planRefs)
}
