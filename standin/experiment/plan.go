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

// Plan says what an experiment does. It is read from a TOML file.
type Plan struct {
	Name string `toml:"name"`
	// Servers holds the base URLs of the control addresses of the backend servers.
	Servers []string `toml:"servers"`
	// AllowBroken lets the experiment succeed though flows broke.
	AllowBroken bool         `toml:"allow_broken"`
	Callers     []CallerPlan `toml:"caller"`
	Steps       []Step       `toml:"step"`
}

// CallerPlan is a load that runs from the start of the experiment.
type CallerPlan struct {
	// Name is the name of the caller in reports. It must be unique.
	Name string `toml:"name"`
	// Args are the flags of the subcommand caller, separated by spaces.
	Args string `toml:"args"`
}

// Step is one HTTP call, usually of a fault switch.
type Step struct {
	Name string `toml:"name" json:"name"`
	// At is the time from the start of the experiment.
	At fault.Duration `toml:"at" json:"at"`
	// Method is PUT if it is not given.
	Method string `toml:"method" json:"method"`
	URL    string `toml:"url" json:"url"`
	Body   string `toml:"body" json:"body"`
}

// ReadPlan reads a plan. Its errors have kind InvalidSettings.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "plan")
	}
	var plan Plan
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "plan %s", path)
	}
	return &plan, plan.complete(path)
}

// complete fills in defaults and checks the plan.
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

// command returns the caller that the plan describes.
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
