// Command bergamotd is the daemon of bergamotbank. It runs as a balancer on an
// entry VM or as an agent beside a backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/platform"
	"bergamotbank/process/agent"
	"bergamotbank/process/balancer"
	"bergamotbank/process/logging"
	"bergamotbank/process/passthrough"
	"bergamotbank/process/settings"
)

// roleCommand is the command line of one role.
type roleCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"TOML settings file of this process"`
}

// commandLine is the command line of the daemon.
type commandLine struct {
	Balancer *roleCommand `arg:"subcommand:balancer" help:"take callers' packets from the fabric on an entry VM"`
	Agent    *roleCommand `arg:"subcommand:agent" help:"serve callers' flows beside a backend server"`

	PassthroughBalancer *roleCommand `arg:"subcommand:passthrough-balancer" help:"take callers' packets on the users' platform"`
	PassthroughAgent    *roleCommand `arg:"subcommand:passthrough-agent" help:"carry the packets of a backend server on the users' platform"`
}

// Description is printed in the help text.
func (commandLine) Description() string {
	return "bergamotd is the daemon of bergamotbank, a layer-4 load balancer."
}

func main() {
	var line commandLine
	parser := arg.MustParse(&line)
	if parser.Subcommand() == nil {
		parser.Fail("missing subcommand")
	}
	err := run(line)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bergamotd:", err)
	}
	os.Exit(errkind.ExitCode(err))
}

// runner is a process role that works until its context ends.
type runner interface {
	Run(ctx context.Context) error
}

// run runs a role until SIGTERM or SIGINT asks for a planned stop.
func run(line commandLine) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	role, path := line.role()
	source := settings.Source{Path: path, Role: role, Environment: os.LookupEnv}
	s, err := source.Load()
	if err != nil {
		return err
	}
	logger, output, err := logging.New(s.Name, s.LogLevel)
	if err != nil {
		return err
	}
	defer output.Close()
	process, err := build(s, logger, passthrough.Reload{Source: source, SetLogLevel: output.SetLevel})
	if err != nil {
		return err
	}
	err = process.Run(ctx)
	logger.Info("process stopped", zap.Error(err))
	return err
}

// role returns the role that the command line names and its settings file.
func (line commandLine) role() (role settings.Role, path string) {
	switch {
	case line.Balancer != nil:
		return settings.RoleBalancer, line.Balancer.Settings
	case line.PassthroughBalancer != nil:
		return settings.RolePassthroughBalancer, line.PassthroughBalancer.Settings
	case line.PassthroughAgent != nil:
		return settings.RolePassthroughAgent, line.PassthroughAgent.Settings
	}
	return settings.RoleAgent, line.Agent.Settings
}

func build(s settings.Settings, logger *zap.Logger, reload passthrough.Reload) (runner, error) {
	switch reload.Source.Role {
	case settings.RoleBalancer:
		return balancer.New(s, logger)
	case settings.RolePassthroughBalancer:
		return passthrough.NewBalancer(s, logger, platform.New(s.Store), reload)
	case settings.RolePassthroughAgent:
		return passthrough.NewAgent(s, logger, platform.New(s.Store), reload)
	case settings.RoleAgent:
	}
	return agent.New(s, logger)
}
