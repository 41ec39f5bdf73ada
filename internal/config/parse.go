package config

import (
	"fmt"
	"os"
)

// Load reads and checks a file. Its error joins one Error for each mistake, in the order of
// the file, or is the one of reading it.
func Load(file string) (*Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse checks a file's text. The error joins one Error for each mistake, in the order of the
// file; mistakes of the file as a whole come last.
func Parse(file string, data []byte) (*Config, error) {
	p := newParser(file)
	lines, lineErrors := splitLines(file, data)
	p.errs = append(p.errs, lineErrors...)
	for _, l := range lines {
		p.directive(l)
	}
	p.resolveReferences()
	p.check()
	if len(p.errs) > 0 {
		return nil, joinErrors(p.errs)
	}
	return p.c, nil
}

// parser collects a configuration and its mistakes while the lines of a file are read.
type parser struct {
	c              *Config
	classes, plans map[string]int // index by name
	classRefs      []reference
	planRefs       []reference
	lines          map[string]int // line of each directive or named item that may stand once
	errs           []*Error
}

// reference is the use of a name that may be defined in a later line.
type reference struct {
	line  int
	name  string
	apply func(index int)
}

func newParser(file string) *parser {
	return &parser{c: defaults(file), classes: map[string]int{}, plans: map[string]int{}, lines: map[string]int{}}
}

// errorf records a mistake; line 0 is the file as a whole.
func (p *parser) errorf(line int, format string, args ...any) {
	p.errs = append(p.errs, &Error{p.c.File, line, fmt.Sprintf(format, args...)})
}

// once reports whether an item stands for the first time, and records a mistake if not.
func (p *parser) once(line int, item string) bool {
	if first, ok := p.lines[item]; ok {
		p.errorf(line, "%s is already given in line %d", item, first)
		return false
	}
	p.lines[item] = line
	return true
}

// directive applies one line.
func (p *parser) directive(l Line) {
	name := l.Words[0]
	apply, known := directives[name]
	if !known {
		p.errorf(l.Number, "unknown directive %.40q", name)
		return
	}
	if !repeatable[name] && !p.once(l.Number, name) {
		return
	}
	args := NewArgs(l)
	apply(p, l.Number, args)
	if err := args.Err(); err != nil {
		p.errorf(l.Number, "%s: %v", name, err)
	}
}

// resolveReferences applies the uses of classes and plans now that all of them are known.
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
