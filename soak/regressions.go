package main

// regression is a schedule that has failed.
type regression struct {
	seed uint64
	// stepCount is the number of steps, from the start of allSteps, that the
	// schedule draws from.
	stepCount int
	// cause describes the fault in one line.
	cause string
}

// regressions lists all schedules that have failed. CI runs each of them again.
var regressions = []regression{
	{114, 23, "the soak test started a server while the previous one on the VM was still draining"},
	{2, 27, "on a busy machine, a response in progress or a forked child kept the address of a terminated server in use"},
	{115, 23, "the soak test started a process twice and lost track of the first, which kept serving with an outdated state"},
}
