// Command standin simulates the external systems that bergamotbank works with: the
// key-value service, the fabric, backend servers and callers. It is used by tests,
// the demo and measurements and is not part of a release.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/standin/caller"
	"bergamotbank/standin/experiment"
	"bergamotbank/standin/fabric"
	"bergamotbank/standin/relay"
	"bergamotbank/standin/server"
	"bergamotbank/standin/store"
)

type arguments struct {
	Store      *store.Command      `arg:"subcommand:store" help:"key-value service with compare-and-swap, leases and watches"`
	Fabric     *fabric.Command     `arg:"subcommand:fabric" help:"network that sends each packet to a random balancer"`
	Server     *server.Command     `arg:"subcommand:server" help:"backend server"`
	Caller     *caller.Command     `arg:"subcommand:caller" help:"caller and load tool"`
	Relay      *relay.Command      `arg:"subcommand:relay" help:"middlebox between two processes that communicate directly"`
	Experiment *experiment.Command `arg:"subcommand:experiment" help:"runs callers, sets fault switches on a schedule and writes a combined report"`
}

// Description returns the first line of the help text.
func (arguments) Description() string {
	return "Simulates the external systems of bergamotbank. PUT /fault injects faults."
}

// Epilogue returns the end of the help text.
func (arguments) Epilogue() string {
	return `HTTP paths of the simulated systems:
  GET, PUT, PATCH /fault    fault switches; PUT {} clears all of them
  GET /fault/counters       counters
  GET /fault/executions     server: executions of orders and releases (?after=SEQUENCE)
  GET /fault/history        server: samples of the load and of the server's capacity
  GET /fault/traffic        fabric: packets by UDP address, with the time of the last one
  GET, POST /balancers      fabric: balancers; DELETE /balancers/NAME removes one
The switches are the fields of the type Faults of each package (fabric: Topology).`
}

// runner is a subcommand. Run returns when ctx is done or its work is complete.
type runner interface {
	Run(ctx context.Context, log *zap.Logger) error
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	command, ok := parser.Subcommand().(runner)
	if !ok {
		parser.Fail("a subcommand is required")
	}
	os.Exit(run(command))
}

func run(command runner) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log, err := zap.NewProduction()
	if err != nil {
		return errkind.ExitCode(err)
	}
	defer func() { _ = log.Sync() }()
	err = command.Run(ctx, log)
	if err != nil {
		log.Error("stopped", zap.String("kind", errkind.Of(err).String()), zap.String("error", err.Error()))
	}
	return errkind.ExitCode(err)
}
