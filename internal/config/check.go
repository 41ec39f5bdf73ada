package config

import "time"

// minRequestTime is the time that must remain of a deadline after subtracting ResponseMargin.
const minRequestTime = 10 * time.Millisecond

// check records mistakes that concern several lines. It also sets the values that depend on several
// lines.
func (p *parser) check() {
	p.checkRequired()
	p.checkLastRoute()
	p.checkAdmission()
	p.checkDeadlines()
	p.checkProcesses()
	p.checkVolumes()
}

// checkRequired records a mistake for each required directive that is missing.
func (p *parser) checkRequired() {
	c := p.c
	for _, required := range []struct {
		directive string
		given     bool
	}{
		{"listen", len(c.Listen) > 0},
		{"nodes", c.NodeList != ""},
		{"class", len(p.classes) > 0},
		{"plan", len(p.plans) > 0},
		{"volume", len(c.Volumes) > 0},
		{"route", len(c.Routes) > 0},
	} {
		if !required.given && !p.mistaken[required.directive] {
			p.errorf(0, "no %s is given", required.directive)
		}
	}
}

// checkLastRoute checks that the last route matches every request, so that each request has a class.
func (p *parser) checkLastRoute() {
	if len(p.c.Routes) == 0 {
		return
	}
	last := p.c.Routes[len(p.c.Routes)-1]
	if len(last.Methods) > 0 || last.Prefix != "" || last.Ranged || last.SizeAbove >= 0 {
		p.errorf(0, "the last route must match every request: route * class NAME")
	}
}

// checkAdmission sets the admission limits that depend on other directives, and records the limits that
// are inconsistent. The mistakes are reported for the last line with one of the directives admit,
// known and buffers.
func (p *parser) checkAdmission() {
	a := &p.c.Admission
	a.MaxConns = p.c.Limits.Clients
	a.Buffers.MinConnBytes = minConnBufferBytes
	if a.Buffers.TotalBytes == 0 {
		a.Buffers.TotalBytes = max(defaultClientBufferBytes, defaultBuffersPerClient*minConnBufferBytes*int64(a.MaxConns))
	}
	err := a.Check()
	if err == nil || p.anyMistaken("clients", "admit", "known", "buffers") {
		return
	}
	line := max(p.lineOf["admit"], p.lineOf["known"], p.lineOf["buffers"])
	for _, mistake := range unwrapJoined(err) {
		p.errorf(line, "%v", mistake)
	}
}

// checkDeadlines checks that each class has time for its requests besides the response margin.
func (p *parser) checkDeadlines() {
	margin := p.c.Deadlines.ResponseMargin
	for i, deadline := range p.c.Deadlines.ByClass {
		if deadline <= margin+minRequestTime {
			p.errorf(p.lineOf["class "+p.c.Scheduler.Classes[i].Name], "the deadline %v leaves no time for the request after the answer-margin %v", deadline, margin)
		}
	}
}

// checkProcesses checks that there are at least as many instances as worker processes, each of which is
// an instance, and that the admission limits of a single worker are consistent.
func (p *parser) checkProcesses() {
	c, line := p.c, p.lineOf["processes"]
	if p.anyMistaken("processes", "heads", "clients", "admit", "known", "buffers") {
		return
	}
	if c.Processes > c.Scheduler.Instances {
		p.errorf(line, "there are %d processes, each of which is a head, but only %d heads in total", c.Processes, c.Scheduler.Instances)
		return
	}
	if c.Processes == 1 {
		return
	}
	if err := c.ForWorker(0).Admission.Check(); err != nil {
		p.errorf(line, "the limits of one of %d processes: %v", c.Processes, err)
	}
}

// checkVolumes checks the number of instances of each volume against the worker processes and the total
// number of instances.
func (p *parser) checkVolumes() {
	c := p.c
	if p.anyMistaken("processes", "heads") {
		return
	}
	for _, v := range c.Volumes {
		line := p.lineOf["volume "+v.Name]
		if v.Instances < c.Processes {
			p.errorf(line, "volume %s is served by %d heads, but there are %d processes: together they would exceed its limit", v.Name, v.Instances, c.Processes)
		}
		if v.Instances > c.Scheduler.Instances {
			p.errorf(line, "volume %s is served by %d heads, but there are only %d", v.Name, v.Instances, c.Scheduler.Instances)
		}
	}
}
