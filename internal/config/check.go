package config

import "time"

// minRequestTime is the least that a deadline must leave beside ResponseMargin.
const minRequestTime = 10 * time.Millisecond

// check records the mistakes that concern more than one line, and fills in what follows from
// several of them.
func (p *parser) check() {
	p.checkRequired()
	p.checkLastRoute()
	p.checkAdmission()
	p.checkDeadlines()
	p.checkProcesses()
	p.checkVolumes()
}

// checkRequired records the directives that every configuration needs and this one lacks.
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
		if !required.given {
			p.errorf(0, "no %s is given", required.directive)
		}
	}
}

// checkLastRoute requires that every request has a class.
func (p *parser) checkLastRoute() {
	if len(p.c.Routes) == 0 {
		return
	}
	last := p.c.Routes[len(p.c.Routes)-1]
	if len(last.Methods) > 0 || last.Prefix != "" || last.Ranged || last.SizeAbove >= 0 {
		p.errorf(0, "the last route must take every request: route * class NAME")
	}
}

// checkAdmission completes the admission limits and records what does not add up. Such a
// mistake is reported at the last line that sets them.
func (p *parser) checkAdmission() {
	a := &p.c.Admission
	a.MaxConns = p.c.Limits.Clients
	a.Buffers.MinConnBytes = minConnBuffer
	if a.Buffers.TotalBytes == 0 {
		a.Buffers.TotalBytes = max(defaultClientBuffers, defaultBuffersPerClient*minConnBuffer*int64(a.MaxConns))
	}
	err := a.Check()
	if err == nil {
		return
	}
	line := max(p.lines["admit"], p.lines["known"], p.lines["buffers"])
	for _, mistake := range unjoin(err) {
		p.errorf(line, "%v", mistake)
	}
}

func (p *parser) checkDeadlines() {
	margin := p.c.Deadlines.ResponseMargin
	for i, deadline := range p.c.Deadlines.ByClass {
		if deadline <= margin+minRequestTime {
			p.errorf(p.lines["class "+p.c.Scheduler.Classes[i].Name], "the deadline %v leaves no time beside the answer-margin %v", deadline, margin)
		}
	}
}

// checkProcesses requires that the worker processes are counted among the instances, and that
// the part of one worker is a usable configuration.
func (p *parser) checkProcesses() {
	c, line := p.c, p.lines["processes"]
	if c.Processes > c.Scheduler.Instances {
		p.errorf(line, "there are %d processes, each a head, but %d heads in all", c.Processes, c.Scheduler.Instances)
		return
	}
	if c.Processes == 1 {
		return
	}
	if err := c.ForWorker(0).Admission.Check(); err != nil {
		p.errorf(line, "the part of one of %d processes: %v", c.Processes, err)
	}
}

// checkVolumes compares the instances of each volume with those of the fleet and of this machine.
func (p *parser) checkVolumes() {
	c := p.c
	for _, v := range c.Volumes {
		line := p.lines["volume "+v.Name]
		if v.Instances < c.Processes {
			p.errorf(line, "volume %s comes through %d heads, but the processes here are %d: its limit would count too often", v.Name, v.Instances, c.Processes)
		}
		if v.Instances > c.Scheduler.Instances {
			p.errorf(line, "volume %s comes through %d heads, but there are %d", v.Name, v.Instances, c.Scheduler.Instances)
		}
	}
}
