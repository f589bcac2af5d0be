// Command bergamotctl is the operators' command-line client of bergamotbank.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bergamotbank/process/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
