package ctl

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
	"bergamotbank/version/publish"
	"bergamotbank/version/spread"
)

// Handing a version over and waiting for it.
const (
	// offersPerDomain is the number of balancers of each failure domain that
	// get an accepted version handed directly.
	offersPerDomain = 3
	// pollInterval is the pause between two looks at the fleet.
	pollInterval = 200 * time.Millisecond
)

type applyOutput struct {
	publish.Result
	// Offered is the number of balancers that took the version directly.
	Offered int `json:"offered"`
	// InForce tells whether the version is in force everywhere; it is
	// meaningful after a wait.
	InForce bool `json:"in_force"`
	// WaitMillis is the time from acceptance to in force everywhere, in
	// milliseconds.
	WaitMillis int64 `json:"wait_ms,omitempty"`
	// Behind lists the processes that have not put the version in force.
	Behind []spread.ProcessStatus `json:"behind,omitempty"`
	// Missing lists the processes that do not answer.
	Missing []Missing `json:"missing,omitempty"`
}

func (c *command) apply(ctx context.Context, a *ApplyCommand) error {
	wanted, err := c.readConfig(a.File)
	if err != nil {
		return err
	}
	from := c.findSeeds(ctx)
	before := c.survey(ctx, from)
	result, err := c.publisher.Publish(ctx, publish.Request{
		Config:    wanted,
		Operation: a.Operation,
		Expect:    a.ExpectVersion,
		Floor:     before.highest(),
		Repair:    a.Repair,
	})
	return c.finish(ctx, from, before, result, err, a.Wait)
}

func (c *command) domain(ctx context.Context, a *DomainNameCommand, out bool) error {
	from := c.findSeeds(ctx)
	before := c.survey(ctx, from)
	result, err := c.publisher.Update(ctx, before.highest(), func(current *config.Config) (*config.Config, error) {
		changed, found := current.WithDomainOut(a.Name, out)
		if !found {
			return nil, errkind.New(errkind.NotFound, "failure domain %q is not in the configuration", a.Name)
		}
		return changed, nil
	})
	return c.finish(ctx, from, before, result, err, a.Wait)
}

// finish hands an accepted version over, waits for it when asked, and prints.
func (c *command) finish(ctx context.Context, from seeds, before fleet, result publish.Result, err error, wait bool) error {
	output := applyOutput{Result: result}
	if err != nil {
		return c.refuse(output, err)
	}
	accepted := time.Now()
	output.Offered = c.handOver(ctx, before, result)
	if wait {
		err = c.waitInForce(ctx, from, &output, accepted)
	}
	if printErr := c.print(output, output.lines()); printErr != nil {
		return printErr
	}
	return err
}

func (c *command) refuse(output applyOutput, err error) error {
	lines := []string{"refused: nothing was changed"}
	if output.Outcome == publish.Unknown {
		lines = []string{"unknown: repeat with --operation " + output.Operation + " to find out"}
	}
	if errkind.Is(err, errkind.Conflict) {
		lines = append(lines, fmt.Sprintf("version %d is current; the text would change:", output.Current))
		lines = append(lines, changeLines(output.Changes)...)
	}
	if printErr := c.print(output, lines); printErr != nil {
		return printErr
	}
	return err
}

func (o applyOutput) lines() []string {
	lines := []string{fmt.Sprintf("%s: version %d, operation %s, %d changes, handed to %d balancers",
		o.Outcome, o.Version, o.Operation, len(o.Changes), o.Offered)}
	lines = append(lines, changeLines(o.Changes)...)
	if o.InForce {
		lines = append(lines, fmt.Sprintf("in force everywhere after %d ms", o.WaitMillis))
	}
	return lines
}

// handOver offers an accepted version to a few balancers of each failure
// domain, so that it spreads though the store goes down now.
func (c *command) handOver(ctx context.Context, before fleet, result publish.Result) int {
	if result.Published == nil {
		return 0
	}
	var taken atomic.Int64
	var wait sync.WaitGroup
	for _, p := range before.candidates() {
		control, err := parseControl(p.Control)
		if err != nil {
			continue
		}
		wait.Go(func() {
			if c.operator.Offer(ctx, control, *result.Published, result.NewTexts) == nil {
				taken.Add(1)
			}
		})
	}
	wait.Wait()
	return int(taken.Load())
}

// candidates returns a few balancers of each failure domain.
func (f fleet) candidates() []spread.ProcessStatus {
	var chosen []spread.ProcessStatus
	count := make(map[string]int)
	for _, p := range f.processes {
		if !p.Leaf && count[p.Domain] < offersPerDomain {
			count[p.Domain]++
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// waitInForce looks at the fleet until the version is in force everywhere or
// ctx ends. Errors: NotInForce naming who is missing, Partial when nobody is
// known to lack it but others may exist.
func (c *command) waitInForce(ctx context.Context, from seeds, output *applyOutput, accepted time.Time) error {
	var last fleet
	for {
		start := time.Now()
		f := c.survey(ctx, from)
		if ctx.Err() == nil || len(last.processes) == 0 {
			last = f
		}
		output.Behind = last.behind(output.Version)
		output.Missing = last.missing
		if len(last.processes) > 0 && len(output.Behind) == 0 && len(output.Missing) == 0 {
			output.InForce = true
			output.WaitMillis = time.Since(accepted).Milliseconds()
			return last.complete()
		}
		select {
		case <-ctx.Done():
			return notInForce(output, last)
		case <-time.After(max(pollInterval, 2*time.Since(start))):
		}
	}
}

func notInForce(output *applyOutput, f fleet) error {
	var names []string
	for _, p := range output.Behind {
		names = append(names, fmt.Sprintf("%s at version %d", p.Name, p.ActiveVersion))
	}
	for _, m := range output.Missing {
		names = append(names, strings.TrimSpace(m.Name+" "+m.Control)+" does not answer")
	}
	if len(names) == 0 {
		names = append(names, "no balancer is known")
		if f.unlisted != nil {
			names = append(names, f.unlisted.Error())
		}
	}
	return errkind.New(errkind.NotInForce, "version %d is accepted but not in force everywhere: %s", output.Version, strings.Join(names, ", "))
}
