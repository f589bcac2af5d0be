//go:build race

package datagram_test

// raceEnabled is true if the race detector is on. sync.Pool then drops objects at
// random, so that reads allocate.
const raceEnabled = true
