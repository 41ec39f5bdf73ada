// Package soak is a randomized fault-injection test of a whole fleet. It runs gateway instances as
// processes that speak the platform's protocol (see package platform), while faults overlap in time.
// Discovery, storage nodes and clients are fakes in the process that runs the soak, on loopback
// addresses. A run passes if the audit finds no violated rule in the records of clients and nodes, if
// no instance logs a violated invariant, and if nothing else fails (see Report).
//
// options.go, fault.go, plan.go and syscall_faults.go define the faults of a run. deployment.go and
// workload.go define the configuration of the instances and the requests of the clients. All of these
// are determined by Options, apart from the gateways' own random seeds. fleet.go, instance.go, node.go
// and client.go run the participants; inject.go and client_faults.go inject the faults. audit.go,
// instance_log.go and report.go produce the report. node_list_cost.go and process_usage.go are a
// benchmark of node lists that uses the same fakes.
package soak

import "maddergap/internal/stallwatch"

// Run runs a fleet under the faults that the options' seed determines and returns a report. exe is
// the gateway program's command line without a subcommand. The instances' configurations and logs are
// written to dir. Rule violations and failures during the run are in the report; an error means that
// the fleet could not be started or the report could not be made.
func Run(o *Options, exe []string, dir string) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	f := newFleet(o)
	plan := GeneratePlan(o)
	stalls := stallwatch.Start()
	defer stalls.Stop()
	defer f.close()
	if err := f.startNodes(); err != nil {
		return nil, err
	}
	if err := f.startInstances(plan.SyscallFaults, exe, dir); err != nil {
		return nil, err
	}
	f.runWorkload(plan)
	return f.buildReport(plan, dir, stalls.Longest())
}
