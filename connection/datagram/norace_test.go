//go:build !race

package datagram_test

// raceEnabled tells that the race detector is off.
const raceEnabled = false
