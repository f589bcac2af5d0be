// Package experiment runs callers, drives fault switches on a schedule meanwhile
// and joins the reports of the callers with the execution logs of the backend
// servers. It starts no other process: the system under test and its stand-ins
// run already.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/standin/caller"
)

// Command is the subcommand that runs an experiment.
type Command struct {
	Plan string `arg:"--plan,required" help:"TOML file with callers, steps and logs" placeholder:"FILE"`
	Out  string `arg:"--out,required" help:"directory for the report, the plot and the request logs" placeholder:"DIR"`
}

// Report is what an experiment found.
type Report struct {
	Name    string           `json:"name"`
	Steps   []StepResult     `json:"steps"`
	Callers []*caller.Report `json:"callers"`
	Totals  caller.Totals    `json:"totals"`
	Joined  JoinResult       `json:"joined"`
	Servers []ServerReport   `json:"servers"`
	// MissingLogs holds the execution logs that never answered.
	MissingLogs []string `json:"missing_logs"`
	// Violations lists what must not happen and did.
	Violations []string `json:"violations"`
}

// callerRun is one caller of a running experiment.
type callerRun struct {
	command *caller.Command
	report  *caller.Report
	err     error
}

// Run runs the experiment. It returns an error of kind Partial if the report
// has violations.
func (c *Command) Run(ctx context.Context, log *zap.Logger) error {
	plan, err := ReadPlan(c.Plan)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errkind.Wrap(err, errkind.Usage, "--out")
	}
	callers, err := c.prepare(plan)
	if err != nil {
		return err
	}
	report, err := run(ctx, plan, callers)
	if err != nil {
		return err
	}
	log.Info("experiment ended", zap.Any("totals", report.Totals), zap.Strings("violations", report.Violations))
	if err := c.write(report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errkind.New(errkind.Partial, "violations: %v", report.Violations)
	}
	return nil
}

// prepare makes the callers of the plan.
func (c *Command) prepare(plan *Plan) ([]*callerRun, error) {
	var runs []*callerRun
	for _, callerPlan := range plan.Callers {
		command, err := callerPlan.command()
		if err != nil {
			return nil, err
		}
		command.Requests = filepath.Join(c.Out, "requests-"+callerPlan.Name+".jsonl")
		runs = append(runs, &callerRun{command: command})
	}
	return runs, nil
}

// run runs callers, steps and the collection of logs side by side. The
// experiment is over when all callers have ended.
func run(ctx context.Context, plan *Plan, callers []*callerRun) (*Report, error) {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	logs := newCollector(plan.Servers)
	report := &Report{Name: plan.Name, Violations: []string{}}
	start := time.Now()
	var sides, load sync.WaitGroup
	sides.Go(func() { logs.run(running) })
	sides.Go(func() { report.Steps = runSteps(running, plan.Steps, start) })
	for _, r := range callers {
		load.Go(func() { r.report, r.err = r.command.Measure(running) })
	}
	load.Wait()
	cancel()
	sides.Wait()
	logs.collect(ctx)
	report.Servers = readServers(ctx, plan.Servers, start)
	return report, report.fill(plan, callers, logs)
}

// fill joins everything into the report.
func (r *Report) fill(plan *Plan, callers []*callerRun, logs *collector) error {
	var requests []caller.RequestEntry
	for _, run := range callers {
		if run.err != nil {
			return run.err
		}
		r.Callers = append(r.Callers, run.report)
		r.Totals.Add(run.report.Totals)
		entries, err := readRequests(run.command.Requests)
		if err != nil {
			return err
		}
		requests = append(requests, entries...)
	}
	r.Joined = Join(requests, logs.all())
	r.MissingLogs = logs.missing()
	r.judge(plan)
	return nil
}

// judge lists the violations.
func (r *Report) judge(plan *Plan) {
	broken := r.Totals.BrokenFlows
	if plan.AllowBroken {
		broken = 0
	}
	checks := []struct {
		what  string
		count uint64
	}{
		{"broken flows", broken},
		{"cut answers", r.Totals.CorruptedResponses},
		{"answers of a wrong service", r.Totals.WrongService},
		{"answers to another request", r.Totals.MismatchedResponses},
		{"requests run twice", uint64(len(r.Joined.ExecutedTwice))},
		{"untrue not-run", uint64(len(r.Joined.FalseNotRun))},
		{"execution logs missing", uint64(len(r.MissingLogs))},
		{"steps failed", r.failedSteps()},
		{"steps not reached", uint64(len(plan.Steps) - len(r.Steps))},
	}
	for _, check := range checks {
		if check.count > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("%d %s", check.count, check.what))
		}
	}
	for _, report := range r.Callers {
		for _, unmet := range report.Unmet {
			r.Violations = append(r.Violations, report.Name+": "+unmet)
		}
	}
}

func (r *Report) failedSteps() uint64 {
	var failed uint64
	for _, step := range r.Steps {
		if step.Error != "" {
			failed++
		}
	}
	return failed
}

// write writes report.json, plot.svg and load.svg.
func (c *Command) write(report *Report) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "report")
	}
	if err := os.WriteFile(filepath.Join(c.Out, "report.json"), append(text, '\n'), 0o644); err != nil {
		return errkind.Wrap(err, errkind.Usage, "report")
	}
	marks := make([]caller.Mark, 0, len(report.Steps))
	for i, step := range report.Steps {
		marks = append(marks, caller.Mark{Second: step.AtSecond, Label: strconv.Itoa(i + 1)})
	}
	err = caller.WritePlot(filepath.Join(c.Out, "plot.svg"), report.Name, caller.SumSeconds(report.Callers...), marks)
	if err != nil {
		return err
	}
	lines := make([]caller.Series, 0, len(report.Servers))
	for _, s := range report.Servers {
		lines = append(lines, s.shares)
	}
	return caller.WriteSeries(filepath.Join(c.Out, "load.svg"), report.Name, "load / what the server bears", lines, marks)
}
