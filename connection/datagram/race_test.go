//go:build race

package datagram_test

// raceEnabled tells that sync.Pool drops objects at random, so that reads allocate.
const raceEnabled = true
