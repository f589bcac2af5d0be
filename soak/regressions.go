package main

// regression is a schedule that failed once.
type regression struct {
	seed uint64
	// cause is what was wrong, in one line.
	cause string
}

// regressions are all schedules that ever failed; each is run again in CI.
var regressions = []regression{
	{114, "the soak started a server while the former one of the VM was still draining"},
	{115, "the soak started a process twice and lost sight of the first, which served on with an old state"},
}
