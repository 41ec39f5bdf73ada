// Package soak runs a fleet of gateway processes in service, on the platform's protocol, under
// random faults that overlap in time. It judges the run by the audit, from what clients and nodes
// recorded on their sockets, and by the violated invariants that the instances log. Discovery, nodes
// and clients are fakes in the process of the soak, on loopback addresses.
//
// options.go, fault.go, plan.go and syscall_faults.go are what happens in a run, deployment.go and
// workload.go what instances are configured for and clients request; all of it follows from a seed.
// fleet.go, instance.go, node.go and client.go are what takes part, inject.go and client_faults.go
// how faults befall it. judge.go, instance_log.go and report.go are the verdict.
package soak

import "maddergap/internal/stallwatch"

// Run runs a fleet of the program under the faults that the options' seed determines, and judges the
// run. exe is the program's command line without a subcommand. Configurations and logs of the
// instances are written to dir. An error means that the fleet could not be run or judged.
func Run(o *Options, exe []string, dir string) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	f := newFleet(o)
	plan := DrawPlan(o)
	stalls := stallwatch.Start()
	defer stalls.Stop()
	defer f.close()
	if err := f.startNodes(); err != nil {
		return nil, err
	}
	if err := f.startInstances(plan.SyscallFaults, exe, dir); err != nil {
		return nil, err
	}
	f.serve(plan)
	return f.judge(plan, dir, stalls.Longest())
}
