package ctl

import (
	"context"
	"io"
	"net/netip"
	"os"

	"bergamotbank/errkind"
	"bergamotbank/version/publish"
	"bergamotbank/version/spread"
	"bergamotbank/version/store"
)

// readAttempts is the maximum number of attempts for a read from the store.
const readAttempts = 2

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// command is the state of one invocation of the program.
type command struct {
	arguments Arguments
	balancers []netip.AddrPort
	streams   Streams
	store     *store.Client
	publisher *publish.Publisher
	operator  *spread.OperatorClient
}

// Main runs the command given by args, which exclude the program name, and returns the
// exit code.
func Main(ctx context.Context, args []string, streams Streams) int {
	p, err := parseArguments(args, streams.Out)
	if p.helpPrinted {
		return errkind.ExitCode(err)
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, p.arguments.Timeout)
		defer cancel()
		err = newCommand(p, streams).run(ctx)
	}
	if err != nil {
		printError(streams.Err, err, p.arguments.JSON)
	}
	return errkind.ExitCode(err)
}

func newCommand(p commandLine, streams Streams) *command {
	client := store.NewClient(store.Options{Address: p.arguments.Store, Attempts: readAttempts})
	return &command{
		arguments: p.arguments,
		balancers: p.balancers,
		streams:   streams,
		store:     client,
		publisher: publish.New(client),
		operator:  spread.NewOperatorClient(),
	}
}

func (c *command) run(ctx context.Context) error {
	a := c.arguments
	switch {
	case a.Validate != nil:
		return c.validate(a.Validate)
	case a.Diff != nil:
		return c.diff(ctx, a.Diff)
	case a.Apply != nil:
		return c.apply(ctx, a.Apply)
	case a.Show != nil:
		return c.show(ctx)
	case a.Status != nil:
		return c.status(ctx)
	case a.Domain != nil && a.Domain.Out != nil:
		return c.domain(ctx, a.Domain.Out, true)
	case a.Domain != nil && a.Domain.In != nil:
		return c.domain(ctx, a.Domain.In, false)
	case a.Drain != nil:
		return c.drain(ctx, a.Drain)
	case a.Timeline != nil:
		return c.timeline(ctx, a.Timeline)
	case a.Explain != nil:
		return c.explain(a.Explain)
	case a.Where != nil:
		return c.where(ctx, a.Where)
	case a.Version != nil:
		return c.version()
	}
	return errkind.New(errkind.Usage, "command line: a command is missing; see %s --help", programName)
}

// readFile reads a file, or the standard input if name is "-". Errors: NotFound.
func (c *command) readFile(name string) ([]byte, error) {
	if name == "-" {
		text, err := io.ReadAll(c.streams.In)
		return text, errkind.Wrap(err, errkind.NotFound, "read standard input")
	}
	text, err := os.ReadFile(name)
	return text, errkind.Wrap(err, errkind.NotFound, "read file")
}
