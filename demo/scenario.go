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

// Load of the callers, behavior of the backend servers and timing of the changes.
const (
	serviceTime        = 20 * time.Millisecond
	coldDuration       = 2 * time.Second
	ordersPerSecond    = "25"
	downloadsPerSec    = "2"
	statusStreams      = "60"
	callerExitTimeout  = 15 * time.Second
	changeDelayDivisor = 5
	secondChangeShare  = 2
)

// scenario makes the changes of the demo while callers run.
type scenario struct {
	fleet    *fleet.Fleet
	output   string
	duration time.Duration
	// orders and downloads are the names of the services that callers use.
	orders, downloads string
}

// run runs the callers, makes the changes and returns the result.
func (s *scenario) run(ctx context.Context) (result, error) {
	report := filepath.Join(s.output, "report.json")
	callers, err := s.fleet.StartCaller(s.callerArguments(report)...)
	if err != nil {
		return result{}, err
	}
	if err := s.applyChanges(ctx); err != nil {
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

// applyChanges replaces a balancer and drains a backend server.
func (s *scenario) applyChanges(ctx context.Context) error {
	if err := wait(ctx, s.duration/changeDelayDivisor); err != nil {
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
	if err := wait(ctx, s.duration/changeDelayDivisor); err != nil {
		return err
	}
	drained := s.fleet.Servers(s.orders)[0]
	fmt.Printf("draining backend server %s\n", drained.Name)
	_, err = s.fleet.RunCtl(ctx, "drain", drained.Name)
	return err
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Canceled, "demo")
	}
}

// waitFor waits until the callers have exited.
func (s *scenario) waitFor(ctx context.Context, callers *fleet.Process) error {
	limited, cancel := context.WithTimeout(ctx, s.duration+callerExitTimeout)
	defer cancel()
	select {
	case <-callers.Done():
		return errkind.Wrap(callers.Wait(), errkind.Internal, "callers, see %s", callers.LogPath)
	case <-limited.Done():
		return errkind.New(errkind.Internal, "callers did not exit, see %s", callers.LogPath)
	}
}

// collect combines the callers' report with the executions of the backend servers.
func (s *scenario) collect(ctx context.Context, path string) (result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return result{}, errkind.Wrap(err, errkind.Internal, "report")
	}
	var r result
	if err := json.Unmarshal(text, &r.report); err != nil {
		return result{}, errkind.Wrap(err, errkind.Internal, "report %s", path)
	}
	executions := make(map[string]uint64)
	for _, vm := range s.fleet.Servers("") {
		var log server.ExecutionLog
		if err := s.fleet.ReadJSON(ctx, vm.BackendControl, "/fault/executions", &log); err != nil {
			return result{}, err
		}
		for _, execution := range log.Executions {
			executions[execution.Key]++
		}
	}
	r.executed, r.duplicates = countExecutions(executions)
	return r, nil
}

// countExecutions returns the number of executed keys and of duplicate executions.
func countExecutions(executions map[string]uint64) (executed, duplicates uint64) {
	for _, n := range executions {
		executed++
		duplicates += n - 1
	}
	return executed, duplicates
}

// result is the result of a demo run.
type result struct {
	report     caller.Report
	executed   uint64
	duplicates uint64
}
