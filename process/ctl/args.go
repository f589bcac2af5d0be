// Package ctl holds the commands of bergamotctl, the operators' command-line
// client. Results go to the standard output, errors to the standard error; both
// are JSON with --json. The exit code is that of the error's kind.
package ctl

import (
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/alexflint/go-arg"

	"bergamotbank/errkind"
)

// programName is the name of the program in its messages.
const programName = "bergamotctl"

// Arguments is the command line.
type Arguments struct {
	Validate *FileCommand     `arg:"subcommand:validate" help:"check a text and list every problem"`
	Diff     *FileCommand     `arg:"subcommand:diff" help:"show what a text would change"`
	Apply    *ApplyCommand    `arg:"subcommand:apply" help:"make a text the current version"`
	Show     *EmptyCommand    `arg:"subcommand:show" help:"print the current version in canonical form"`
	Status   *EmptyCommand    `arg:"subcommand:status" help:"show which process runs which version"`
	Domain   *DomainCommand   `arg:"subcommand:domain" help:"take a failure domain out or bring it back"`
	Drain    *DrainCommand    `arg:"subcommand:drain" help:"drain a backend server"`
	Timeline *TimelineCommand `arg:"subcommand:timeline" help:"show the events of all processes in order"`
	Explain  *ExplainCommand  `arg:"subcommand:explain" help:"find the way of a request or flow in log files"`
	Version  *EmptyCommand    `arg:"subcommand:version" help:"print the version of this program"`

	Store    string        `arg:"--store,env:BERGAMOT_STORE" default:"127.0.0.1:8500" placeholder:"HOST:PORT" help:"address of the key-value service"`
	Balancer []string      `arg:"--balancer,separate,env:BERGAMOT_BALANCERS" placeholder:"IP:PORT" help:"control address of a balancer; may be repeated"`
	Timeout  time.Duration `arg:"--timeout,env:BERGAMOT_TIMEOUT" default:"15s" help:"time limit of the command"`
	JSON     bool          `arg:"--json" help:"print JSON"`
}

// Description returns the text above the help.
func (Arguments) Description() string {
	return "Operates bergamotbank: the configuration, failure domains and backend servers."
}

// EmptyCommand is a command without arguments of its own.
type EmptyCommand struct{}

// FileCommand is a command about a text.
type FileCommand struct {
	File string `arg:"positional,required" help:"TOML text, - for the standard input"`
}

// ApplyCommand makes a text the current version.
type ApplyCommand struct {
	File          string  `arg:"positional,required" help:"TOML text, - for the standard input"`
	Wait          bool    `arg:"--wait" help:"return when the version is in force everywhere"`
	ExpectVersion *uint64 `arg:"--expect-version" placeholder:"N" help:"refuse unless version N is current"`
	Operation     string  `arg:"--operation" placeholder:"ID" help:"operation to repeat after an unknown outcome"`
	Repair        bool    `arg:"--repair" help:"replace a root that cannot be read"`
}

// DomainCommand takes a failure domain out or brings it back.
type DomainCommand struct {
	Out *DomainNameCommand `arg:"subcommand:out" help:"take a failure domain out"`
	In  *DomainNameCommand `arg:"subcommand:in" help:"bring a failure domain back"`
}

// DomainNameCommand names a failure domain.
type DomainNameCommand struct {
	Name string `arg:"positional,required" help:"failure domain"`
	Wait bool   `arg:"--wait" help:"return when the change is in force everywhere"`
}

// DrainCommand drains a backend server.
type DrainCommand struct {
	Server string `arg:"positional,required" help:"backend server"`
}

// TimelineCommand shows events.
type TimelineCommand struct {
	Since   time.Duration `arg:"--since" default:"10m" help:"age of the oldest event shown"`
	Service string        `arg:"--service" help:"only events of this service"`
	Server  string        `arg:"--server" help:"only events of this backend server"`
	Domain  string        `arg:"--domain" help:"only events of this failure domain"`
	Request string        `arg:"--request" help:"only events of this request"`
	Kind    []string      `arg:"--kind,separate" help:"only events of this kind; may be repeated"`
	SVG     bool          `arg:"--svg" help:"print a picture with a lane for each process"`
	Follow  bool          `arg:"--follow" help:"go on with new events until the time limit or an interrupt"`
}

// ExplainCommand finds the way of a request or flow.
type ExplainCommand struct {
	Subject string   `arg:"positional,required" placeholder:"ID|CALLER" help:"identifier of the request, or address and port of the caller"`
	Logs    []string `arg:"--logs,required" placeholder:"PATH" help:"log files, or directories with *.log and *.txt"`
}

// parsed is what came of a command line.
type parsed struct {
	arguments Arguments
	balancers []netip.AddrPort
	// done is true when help was asked for and printed.
	done bool
}

// parseArguments reads a command line. Errors: Usage.
func parseArguments(args []string, stdout io.Writer) (parsed, error) {
	var p parsed
	parser, err := arg.NewParser(arg.Config{Program: programName}, &p.arguments)
	if err != nil {
		return p, errkind.Wrap(err, errkind.Internal, "command line")
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		p.done = true
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
