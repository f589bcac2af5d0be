// Command demo runs the Andes deployment on this machine. Callers send orders, request
// downloads and keep status streams open while a balancer is replaced and a backend
// server is drained. It exits 0 only if no flow was broken, no request was executed
// twice and every response was complete.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"bergamotbank/errkind"
	"bergamotbank/fleet"
)

// commandLine holds the flags of the demo.
type commandLine struct {
	Binaries  string        `arg:"--binaries" default:"bin" help:"directory with bergamotd, bergamotctl and standin"`
	Example   string        `arg:"--example" default:"examples/andes" help:"directory with config.toml and fleet.toml"`
	Output    string        `arg:"--output" default:"out/demo" help:"directory for settings, logs, report and plot"`
	Duration  time.Duration `arg:"--duration" default:"24s" help:"time for which callers run"`
	Orders    string        `arg:"--orders-service" default:"ordering" help:"service that receives orders and provides status streams"`
	Downloads string        `arg:"--downloads-service" default:"catalogue" help:"service that serves downloads"`
}

func main() {
	var line commandLine
	arg.MustParse(&line)
	err := run(line)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	os.Exit(errkind.ExitCode(err))
}

func run(line commandLine) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	options, err := options(line)
	if err != nil {
		return err
	}
	fmt.Printf("starting %s, logs in %s\n", line.Example, line.Output)
	f, err := fleet.Start(ctx, options)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Printf("ready: %d balancers, %d backend servers\n", len(f.Balancers()), len(f.Servers("")))
	s := &scenario{
		fleet:     f,
		output:    line.Output,
		duration:  line.Duration,
		orders:    line.Orders,
		downloads: line.Downloads,
	}
	result, err := s.run(ctx)
	if err != nil {
		return err
	}
	return result.print(os.Stdout)
}

// options reads the example and clears the output directory.
func options(line commandLine) (fleet.Options, error) {
	layout, err := fleet.ReadLayout(filepath.Join(line.Example, "fleet.toml"))
	if err != nil {
		return fleet.Options{}, err
	}
	text, err := os.ReadFile(filepath.Join(line.Example, "config.toml"))
	if err != nil {
		return fleet.Options{}, errkind.Wrap(err, errkind.Usage, "example")
	}
	if err := os.RemoveAll(line.Output); err != nil {
		return fleet.Options{}, errkind.Wrap(err, errkind.Internal, "output")
	}
	if err := os.MkdirAll(line.Output, 0o755); err != nil {
		return fleet.Options{}, errkind.Wrap(err, errkind.Internal, "output")
	}
	return fleet.Options{
		Binaries:     line.Binaries,
		Directory:    line.Output,
		Layout:       layout,
		Config:       text,
		ServiceTime:  serviceTime,
		ColdDuration: coldDuration,
	}, nil
}
