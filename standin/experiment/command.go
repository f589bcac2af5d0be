// Package experiment runs callers while it sets fault switches on a schedule, and
// joins the reports of the callers with the execution logs of the backend servers. It
// starts no other process: the system under test and the simulated services around it
// must be running.
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

// Report is the result of an experiment.
type Report struct {
	Name    string           `json:"name"`
	Steps   []StepResult     `json:"steps"`
	Callers []*caller.Report `json:"callers"`
	Totals  caller.Totals    `json:"totals"`
	Joined  JoinResult       `json:"joined"`
	Servers []ServerReport   `json:"servers"`
	// MissingLogs lists the URLs whose execution log could not be read.
	MissingLogs []string `json:"missing_logs"`
	// Violations lists the violated invariants.
	Violations []string `json:"violations"`
}

// callerRun is one caller of a running experiment.
type callerRun struct {
	command *caller.Command
	report  *caller.Report
	err     error
}

// Run runs the experiment. It returns an error of kind Partial if the report
// contains violations.
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
	log.Info("experiment finished", zap.Any("totals", report.Totals), zap.Strings("violations", report.Violations))
	if err := c.write(report); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errkind.New(errkind.Partial, "violations: %v", report.Violations)
	}
	return nil
}

// prepare creates the callers of the plan.
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

// run runs the callers, the steps and the collection of logs concurrently. The
// experiment ends when all callers have finished.
func run(ctx context.Context, plan *Plan, callers []*callerRun) (*Report, error) {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	logs := newCollector(plan.Servers)
	report := &Report{Name: plan.Name, Violations: []string{}}
	start := time.Now()
	var background, load sync.WaitGroup
	background.Go(func() { logs.run(running) })
	background.Go(func() { report.Steps = runSteps(running, plan.Steps, start) })
	for _, r := range callers {
		load.Go(func() { r.report, r.err = r.command.Measure(running) })
	}
	load.Wait()
	cancel()
	background.Wait()
	logs.collect(ctx)
	report.Servers = readServerReports(ctx, plan.Servers, start)
	return report, report.join(plan, callers, logs)
}

// join adds the results of the callers and of the join with the execution logs to the
// report.
func (r *Report) join(plan *Plan, callers []*callerRun, logs *collector) error {
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
	r.addViolations(plan)
	return nil
}

// addViolations adds the violated invariants to the report.
func (r *Report) addViolations(plan *Plan) {
	broken := r.Totals.BrokenFlows
	if plan.AllowBroken {
		broken = 0
	}
	checks := []struct {
		description string
		count       uint64
	}{
		{"broken flows", broken},
		{"corrupted responses", r.Totals.CorruptedResponses},
		{"responses from the wrong service", r.Totals.WrongService},
		{"responses to another request", r.Totals.MismatchedResponses},
		{"requests executed more than once", uint64(len(r.Joined.ExecutedTwice))},
		{"attempts executed despite not-run", uint64(len(r.Joined.FalseNotRun))},
		{"execution logs missing", uint64(len(r.MissingLogs))},
		{"steps failed", r.failedSteps()},
		{"steps not executed", uint64(len(plan.Steps) - len(r.Steps))},
	}
	for _, check := range checks {
		if check.count > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("%d %s", check.count, check.description))
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
		return errkind.Wrap(err, errkind.Internal, "encode report")
	}
	if err := os.WriteFile(filepath.Join(c.Out, "report.json"), append(text, '\n'), 0o644); err != nil {
		return errkind.Wrap(err, errkind.Usage, "write report")
	}
	marks := make([]caller.Mark, 0, len(report.Steps))
	for i, step := range report.Steps {
		marks = append(marks, caller.Mark{Second: step.AtSecond, Label: strconv.Itoa(i + 1)})
	}
	err = caller.WritePlot(filepath.Join(c.Out, "plot.svg"), report.Name, caller.SumSeconds(report.Callers...), marks)
	if err != nil {
		return err
	}
	ratios := make([]caller.Series, 0, len(report.Servers))
	for _, s := range report.Servers {
		ratios = append(ratios, s.ratios)
	}
	return caller.WriteSeries(filepath.Join(c.Out, "load.svg"), report.Name, "load / capacity of the server", ratios, marks)
}
