package experiment

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/pelletier/go-toml/v2"

	"bergamotbank/errkind"
	"bergamotbank/standin/caller"
	"bergamotbank/standin/fault"
)

// Plan describes an experiment. It is read from a TOML file.
type Plan struct {
	Name string `toml:"name"`
	// Servers lists the base URLs of the control addresses of the backend servers.
	Servers []string `toml:"servers"`
	// AllowBroken means that broken flows are not a violation.
	AllowBroken bool         `toml:"allow_broken"`
	Callers     []CallerPlan `toml:"caller"`
	Steps       []Step       `toml:"step"`
}

// CallerPlan describes a caller that runs from the start of the experiment.
type CallerPlan struct {
	// Name is the unique name of the caller in reports.
	Name string `toml:"name"`
	// Args holds the flags of the caller subcommand, separated by spaces.
	Args string `toml:"args"`
}

// Step is one HTTP request, which usually sets fault switches.
type Step struct {
	Name string `toml:"name" json:"name"`
	// At is the time since the start of the experiment.
	At fault.Duration `toml:"at" json:"at"`
	// Method is the HTTP method. The default is PUT.
	Method string `toml:"method" json:"method"`
	URL    string `toml:"url" json:"url"`
	Body   string `toml:"body" json:"body"`
}

// ReadPlan reads a plan. Its errors have kind InvalidSettings.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "read plan")
	}
	var plan Plan
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "decode plan %s", path)
	}
	return &plan, plan.complete(path)
}

// complete applies defaults and validates the plan.
func (p *Plan) complete(path string) error {
	names := make(map[string]bool)
	for _, c := range p.Callers {
		if c.Name == "" || names[c.Name] {
			return errkind.New(errkind.InvalidSettings, "plan %s: caller name %q is empty or used twice", path, c.Name)
		}
		names[c.Name] = true
	}
	for i := range p.Steps {
		step := &p.Steps[i]
		if step.URL == "" {
			return errkind.New(errkind.InvalidSettings, "plan %s: step %q has no url", path, step.Name)
		}
		if step.Method == "" {
			step.Method = http.MethodPut
		}
	}
	return nil
}

// command returns the caller command that the plan describes.
func (p CallerPlan) command() (*caller.Command, error) {
	var command caller.Command
	parser, err := arg.NewParser(arg.Config{Out: io.Discard}, &command)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "caller %s", p.Name)
	}
	if err := parser.Parse(strings.Fields(p.Args)); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "caller %s", p.Name)
	}
	command.Name = p.Name
	return &command, nil
}
