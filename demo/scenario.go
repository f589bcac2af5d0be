package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/fleet"
	"bergamotbank/standin/caller"
	"bergamotbank/standin/server"
)

// Load and behaviour of the stand-ins.
const (
	workTime          = 20 * time.Millisecond
	coldTime          = 2 * time.Second
	ordersPerSecond   = "25"
	downloadsPerSec   = "2"
	statusStreams     = "60"
	callerExtraTime   = 15 * time.Second
	firstChangeShare  = 5
	secondChangeShare = 2
)

// scenario plays the changes of the demo while callers run.
type scenario struct {
	fleet    *fleet.Fleet
	output   string
	duration time.Duration
	// orders and downloads are the names of the services that callers use.
	orders, downloads string
}

// play runs callers and changes and returns what came of it.
func (s *scenario) play(ctx context.Context) (result, error) {
	report := filepath.Join(s.output, "report.json")
	callers, err := s.fleet.Caller(s.callerArguments(report)...)
	if err != nil {
		return result{}, err
	}
	if err := s.change(ctx); err != nil {
		return result{}, err
	}
	if err := s.waitFor(ctx, callers); err != nil {
		return result{}, err
	}
	return s.collect(ctx, report)
}

func (s *scenario) callerArguments(report string) []string {
	orders := s.fleet.ServiceAddress(s.orders).String()
	downloads := s.fleet.ServiceAddress(s.downloads).String()
	return []string{
		"--name", "demo",
		"--duration", s.duration.String(),
		"--orders", "http://" + orders + "/orders",
		"--orders-per-second", ordersPerSecond,
		"--status", "http://" + orders + "/status",
		"--streams", statusStreams,
		"--downloads", "http://" + downloads + "/download",
		"--downloads-per-second", downloadsPerSec,
		"--repeat", "unknown",
		"--service", orders + "=" + s.orders,
		"--service", downloads + "=" + s.downloads,
		"--report", report,
		"--requests", filepath.Join(s.output, "requests.jsonl"),
		"--plot", filepath.Join(s.output, "run.png"),
	}
}

// change replaces a balancer and drains a backend server.
func (s *scenario) change(ctx context.Context) error {
	if err := pause(ctx, s.duration/firstChangeShare); err != nil {
		return err
	}
	old := s.fleet.Balancers()[0]
	added, err := s.fleet.AddBalancer(ctx, old.Domain)
	if err != nil {
		return err
	}
	fmt.Printf("balancer %s replaces %s\n", added.Name, old.Name)
	if err := s.fleet.WaitReady(ctx); err != nil {
		return err
	}
	if err := s.fleet.RemoveBalancer(ctx, old.Name); err != nil {
		return err
	}
	if err := pause(ctx, s.duration/firstChangeShare); err != nil {
		return err
	}
	leaving := s.fleet.Servers(s.orders)[0]
	fmt.Printf("backend server %s drains\n", leaving.Name)
	_, err = s.fleet.Ctl(ctx, "drain", leaving.Name)
	return err
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Canceled, "demo")
	}
}

// waitFor waits until the callers have ended.
func (s *scenario) waitFor(ctx context.Context, callers *fleet.Process) error {
	limited, cancel := context.WithTimeout(ctx, s.duration+callerExtraTime)
	defer cancel()
	select {
	case <-callers.Done():
		return errkind.Wrap(callers.Wait(), errkind.Internal, "callers, see %s", callers.LogPath)
	case <-limited.Done():
		return errkind.New(errkind.Internal, "callers did not end, see %s", callers.LogPath)
	}
}

// collect joins the callers' report with what the backend servers executed.
func (s *scenario) collect(ctx context.Context, path string) (result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return result{}, errkind.Wrap(err, errkind.Internal, "report")
	}
	var r result
	if err := json.Unmarshal(text, &r.report); err != nil {
		return result{}, errkind.Wrap(err, errkind.Internal, "report %s", path)
	}
	runs := make(map[string]uint64)
	for _, vm := range s.fleet.Servers("") {
		var log server.ExecutionLog
		if err := s.fleet.ReadJSON(ctx, vm.BackendControl, "/fault/executions", &log); err != nil {
			return result{}, err
		}
		for _, execution := range log.Executions {
			runs[execution.Key]++
		}
	}
	r.executed, r.duplicates = countRuns(runs)
	return r, nil
}

// countRuns returns the number of keys that ran and of runs beyond the first.
func countRuns(runs map[string]uint64) (executed, duplicates uint64) {
	for _, n := range runs {
		executed++
		duplicates += n - 1
	}
	return executed, duplicates
}

// result is what came of a run.
type result struct {
	report     caller.Report
	executed   uint64
	duplicates uint64
}
