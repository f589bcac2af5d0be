// Package ctl implements the commands of bergamotctl, the command-line client for
// operators. Results are written to the standard output and errors to the standard
// error, both as JSON with --json. The exit code is that of the error's kind.
package ctl

import (
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/alexflint/go-arg"

	"bergamotbank/errkind"
)

// programName is the name of the program in messages.
const programName = "bergamotctl"

// Arguments is the command line.
type Arguments struct {
	Validate *FileCommand     `arg:"subcommand:validate" help:"validate a configuration and list all problems"`
	Diff     *FileCommand     `arg:"subcommand:diff" help:"show what a configuration would change"`
	Apply    *ApplyCommand    `arg:"subcommand:apply" help:"make a configuration the current version"`
	Show     *EmptyCommand    `arg:"subcommand:show" help:"print the current version in canonical form"`
	Status   *EmptyCommand    `arg:"subcommand:status" help:"show which process runs which version"`
	Domain   *DomainCommand   `arg:"subcommand:domain" help:"take a failure domain out of service or return it to service"`
	Drain    *DrainCommand    `arg:"subcommand:drain" help:"drain a backend server"`
	Timeline *TimelineCommand `arg:"subcommand:timeline" help:"show the events of all processes in causal order"`
	Explain  *ExplainCommand  `arg:"subcommand:explain" help:"trace a request or flow through log files"`
	Where    *WhereCommand    `arg:"subcommand:where" help:"show where a passthrough-balancer would place a flow opened now"`
	Version  *EmptyCommand    `arg:"subcommand:version" help:"print the version of this program"`

	Store    string        `arg:"--store,env:BERGAMOT_STORE" default:"127.0.0.1:8500" placeholder:"HOST:PORT" help:"address of the key-value service"`
	Balancer []string      `arg:"--balancer,separate,env:BERGAMOT_BALANCERS" placeholder:"IP:PORT" help:"control address of a balancer, for where its peer address; may be repeated"`
	Timeout  time.Duration `arg:"--timeout,env:BERGAMOT_TIMEOUT" default:"15s" help:"timeout of the command"`
	JSON     bool          `arg:"--json" help:"print JSON"`
}

// Description returns the introduction of the help text.
func (Arguments) Description() string {
	return "Operates bergamotbank: the configuration, failure domains and backend servers."
}

// EmptyCommand is a command without arguments of its own.
type EmptyCommand struct{}

// FileCommand is a command with a configuration file.
type FileCommand struct {
	File string `arg:"positional,required" help:"TOML file, - for the standard input"`
}

// ApplyCommand makes a configuration the current version.
type ApplyCommand struct {
	File          string  `arg:"positional,required" help:"TOML file, - for the standard input"`
	Wait          bool    `arg:"--wait" help:"wait until the version is active on all processes"`
	ExpectVersion *uint64 `arg:"--expect-version" placeholder:"N" help:"fail unless version N is current"`
	Operation     string  `arg:"--operation" placeholder:"ID" help:"operation to retry after an unknown outcome"`
	Repair        bool    `arg:"--repair" help:"replace the stored version even if its root entry cannot be decoded"`
}

// DomainCommand takes a failure domain out of service or returns it to service.
type DomainCommand struct {
	Out *DomainNameCommand `arg:"subcommand:out" help:"take a failure domain out of service"`
	In  *DomainNameCommand `arg:"subcommand:in" help:"return a failure domain to service"`
}

// DomainNameCommand is a command about one failure domain.
type DomainNameCommand struct {
	Name string `arg:"positional,required" help:"failure domain"`
	Wait bool   `arg:"--wait" help:"wait until the change is active on all processes"`
}

// DrainCommand drains a backend server.
type DrainCommand struct {
	Server string `arg:"positional,required" help:"backend server"`
}

// TimelineCommand shows the events of all processes.
type TimelineCommand struct {
	Since   time.Duration `arg:"--since" default:"10m" help:"age of the oldest event shown"`
	Service string        `arg:"--service" help:"only events of this service"`
	Server  string        `arg:"--server" help:"only events of this backend server"`
	Domain  string        `arg:"--domain" help:"only events of this failure domain"`
	Request string        `arg:"--request" help:"only events of this request"`
	Kind    []string      `arg:"--kind,separate" help:"only events of this kind; may be repeated"`
	SVG     bool          `arg:"--svg" help:"print an SVG chart with a lane for each process"`
	Follow  bool          `arg:"--follow" help:"keep printing new events until the timeout or an interrupt"`
}

// ExplainCommand traces a request or flow through log files.
type ExplainCommand struct {
	Subject string   `arg:"positional,required" placeholder:"ID|CALLER" help:"identifier of the request, or address and port of the caller"`
	Logs    []string `arg:"--logs,required" placeholder:"PATH" help:"log files, or directories with *.log and *.txt"`
}

// commandLine is a parsed command line.
type commandLine struct {
	arguments Arguments
	balancers []netip.AddrPort
	// helpPrinted is true if the help was requested and printed.
	helpPrinted bool
}

// parseArguments parses a command line. Errors: Usage.
func parseArguments(args []string, stdout io.Writer) (commandLine, error) {
	var p commandLine
	parser, err := arg.NewParser(arg.Config{Program: programName}, &p.arguments)
	if err != nil {
		return p, errkind.Wrap(err, errkind.Internal, "command line")
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		p.helpPrinted = true
		return p, errkind.Wrap(parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...), errkind.Internal, "help")
	}
	if err != nil {
		return p, errkind.Wrap(err, errkind.Usage, "command line")
	}
	if parser.Subcommand() == nil {
		return p, errkind.New(errkind.Usage, "command line: a command is missing; see %s --help", programName)
	}
	for _, text := range p.arguments.Balancer {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return p, errkind.Wrap(err, errkind.Usage, "--balancer %s", text)
		}
		p.balancers = append(p.balancers, address)
	}
	return p, nil
}
