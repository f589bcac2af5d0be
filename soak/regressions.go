package main

// regression is a schedule that has failed.
type regression struct {
	seed uint64
	// stepCount is the number of steps, from the start of allSteps, that the
	// schedule draws from.
	stepCount int
	// series is true for a schedule at full size and concurrency.
	series bool
	// cause describes the fault in one line.
	cause string
}

// regressions lists all schedules that have failed. CI runs each of them again.
var regressions = []regression{
	{114, 23, false, "the soak test started a server while the previous one on the VM was still draining"},
	{2, 27, false, "on a busy machine, a response in progress or a forked child kept the address of a terminated server in use"},
	{115, 23, false, "the soak test started a process twice and lost track of the first, which kept serving with an outdated state"},
	{100, 35, true, "SIGHUP ended a process that was starting, and flows were reset while an agent was restarted slowly"},
	{105, 35, true, "SIGHUP ended a process before the Go runtime had started"},
	{4103, 35, true, "the soak test forgot that a server was draining when a second step wanted to drain it, and started the next one"},
	{3103, 35, true, "on a busy machine, the soak test waited for the exit of the next process instead of the one it had stopped"},
}
