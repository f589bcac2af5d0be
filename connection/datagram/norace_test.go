//go:build !race

package datagram_test

// raceEnabled is true if the race detector is on.
const raceEnabled = false
