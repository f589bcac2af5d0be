package ctl

import (
	"context"
	"fmt"
	"runtime/debug"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
	"bergamotbank/version/publish"
)

type validateOutput struct {
	Valid    bool `json:"valid"`
	Services int  `json:"services"`
	Domains  int  `json:"domains"`
}

// readConfig reads and validates a configuration file.
func (c *command) readConfig(file string) (*config.Config, error) {
	text, err := c.readFile(file)
	if err != nil {
		return nil, err
	}
	parsed, err := config.Parse(text)
	return parsed, errkind.Wrap(err, errkind.Of(err), "%s", file)
}

func (c *command) validate(a *FileCommand) error {
	parsed, err := c.readConfig(a.File)
	if err != nil {
		return err
	}
	output := validateOutput{Valid: true, Services: len(parsed.Services), Domains: len(parsed.Domains)}
	return c.print(output, []string{fmt.Sprintf("valid: %d services, %d failure domains", output.Services, output.Domains)})
}

type diffOutput struct {
	Version uint64          `json:"version"`
	Changes []config.Change `json:"changes"`
}

func (c *command) diff(ctx context.Context, a *FileCommand) error {
	newConfig, err := c.readConfig(a.File)
	if err != nil {
		return err
	}
	current, err := publish.Load(ctx, c.store)
	if err != nil {
		return err
	}
	output := diffOutput{Version: current.Version, Changes: config.Diff(current.Config, newConfig)}
	lines := []string{fmt.Sprintf("%d changes relative to version %d", len(output.Changes), output.Version)}
	return c.print(output, append(lines, changeLines(output.Changes)...))
}

func changeLines(changes []config.Change) []string {
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		lines = append(lines, "  "+change.String())
	}
	return lines
}

type showOutput struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

func (c *command) show(ctx context.Context) error {
	current, err := publish.Load(ctx, c.store)
	if err != nil {
		return err
	}
	if current.Config == nil {
		return errkind.New(errkind.NotFound, "the store contains no configuration")
	}
	text := string(config.Render(current.Config))
	return c.print(showOutput{Version: current.Version, Text: text}, []string{fmt.Sprintf("# version %d", current.Version), text})
}

type versionOutput struct {
	Program string `json:"program"`
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (c *command) version() error {
	output := versionOutput{Program: programName, Version: "unknown"}
	if info, found := debug.ReadBuildInfo(); found {
		output.Version = info.Main.Version
		output.Go = info.GoVersion
	}
	return c.print(output, []string{fmt.Sprintf("%s %s %s", output.Program, output.Version, output.Go)})
}
