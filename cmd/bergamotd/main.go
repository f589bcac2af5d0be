// Command bergamotd is the daemon of bergamotbank. It runs as a balancer on a VM that
// receives callers' packets or as an agent on the VM of a backend server.
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

// roleCommand holds the arguments of the subcommand of one role.
type roleCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"TOML settings file of this process"`
}

// commandLine holds the command line of the daemon.
type commandLine struct {
	Balancer *roleCommand `arg:"subcommand:balancer" help:"receive callers' packets from the fabric"`
	Agent    *roleCommand `arg:"subcommand:agent" help:"serve callers' flows on the VM of a backend server"`

	PassthroughBalancer *roleCommand `arg:"subcommand:passthrough-balancer" help:"receive callers' packets on the users' platform"`
	PassthroughAgent    *roleCommand `arg:"subcommand:passthrough-agent" help:"forward the packets of a backend server on the users' platform"`
}

// Description returns the description in the help text.
func (commandLine) Description() string {
	return "bergamotd is the daemon of bergamotbank, a layer-4 load balancer."
}

func main() {
	var cmd commandLine
	parser := arg.MustParse(&cmd)
	if parser.Subcommand() == nil {
		parser.Fail("missing subcommand")
	}
	err := run(cmd)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bergamotd:", err)
	}
	os.Exit(errkind.ExitCode(err))
}

// runner is a process role that runs until its context ends.
type runner interface {
	Run(ctx context.Context) error
}

// run runs a role. SIGTERM and SIGINT start a graceful shutdown.
func run(cmd commandLine) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	role, path := cmd.role()
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
	process, err := newRunner(s, logger, passthrough.Reload{Source: source, SetLogLevel: output.SetLevel})
	if err != nil {
		return err
	}
	err = process.Run(ctx)
	logger.Info("process stopped", zap.Error(err))
	return err
}

// role returns the selected role and the path of its settings file.
func (cmd commandLine) role() (role settings.Role, path string) {
	switch {
	case cmd.Balancer != nil:
		return settings.RoleBalancer, cmd.Balancer.Settings
	case cmd.PassthroughBalancer != nil:
		return settings.RolePassthroughBalancer, cmd.PassthroughBalancer.Settings
	case cmd.PassthroughAgent != nil:
		return settings.RolePassthroughAgent, cmd.PassthroughAgent.Settings
	}
	return settings.RoleAgent, cmd.Agent.Settings
}

// newRunner returns the runner of the role in the settings source.
func newRunner(s settings.Settings, logger *zap.Logger, reload passthrough.Reload) (runner, error) {
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
