// Package hangup receives SIGHUP, the request to reload the settings, for the whole life of a
// process. Its default action ends the process, so it is received as soon as the package is
// initialized, before the settings are read, and until the process exits.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var received = notify()

func notify() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Received returns the channel of received signals, which holds one that has not been handled.
func Received() <-chan os.Signal { return received }
