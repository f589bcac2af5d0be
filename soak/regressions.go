package main

// regression is a schedule that failed once.
type regression struct {
	seed uint64
	// steps is the number of kinds of trouble that the schedule drew from.
	steps int
	// cause is what was wrong, in one line.
	cause string
}

// regressions are all schedules that ever failed; each is run again in CI.
var regressions = []regression{
	{114, 23, "the soak started a server while the former one of the VM was still draining"},
	{2, 27, "an answer that was being written kept the address of a server that had ended, on a busy machine"},
	{115, 23, "the soak started a process twice and lost sight of the first, which served on with an old state"},
}
