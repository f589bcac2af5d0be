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

// Offering a version and waiting until it is active.
const (
	// offersPerDomain is the number of balancers in each failure domain to which
	// an accepted version is offered directly.
	offersPerDomain = 3
	// pollInterval is the minimum interval between two status queries.
	pollInterval = 200 * time.Millisecond
)

type applyOutput struct {
	publish.Result
	// Offered is the number of balancers that accepted the direct offer.
	Offered int `json:"offered"`
	// Active is true if the version is active on all processes. It is set only
	// after a wait.
	Active bool `json:"in_force"`
	// WaitMillis is the time from acceptance until the version was active on all
	// processes, in milliseconds.
	WaitMillis int64 `json:"wait_ms,omitempty"`
	// Behind lists the processes on which the version is not active yet.
	Behind []spread.ProcessStatus `json:"behind,omitempty"`
	// Missing lists the processes that do not respond.
	Missing []Missing `json:"missing,omitempty"`
}

func (c *command) apply(ctx context.Context, a *ApplyCommand) error {
	newConfig, err := c.readConfig(a.File)
	if err != nil {
		return err
	}
	from := c.findSeeds(ctx)
	before := c.collectStatus(ctx, from)
	result, err := c.publisher.Publish(ctx, publish.Request{
		Config:    newConfig,
		Operation: a.Operation,
		Expect:    a.ExpectVersion,
		Floor:     before.highestVersion(),
		Repair:    a.Repair,
	})
	return c.finishPublish(ctx, from, before, result, err, a.Wait)
}

func (c *command) domain(ctx context.Context, a *DomainNameCommand, out bool) error {
	from := c.findSeeds(ctx)
	before := c.collectStatus(ctx, from)
	result, err := c.publisher.Update(ctx, before.highestVersion(), func(current *config.Config) (*config.Config, error) {
		changed, found := current.WithDomainOut(a.Name, out)
		if !found {
			return nil, errkind.New(errkind.NotFound, "failure domain %q is not in the configuration", a.Name)
		}
		return changed, nil
	})
	return c.finishPublish(ctx, from, before, result, err, a.Wait)
}

// finishPublish offers an accepted version to balancers, waits until it is active if
// wait is set, and prints the result.
func (c *command) finishPublish(ctx context.Context, from seeds, before clusterStatus, result publish.Result, err error, wait bool) error {
	output := applyOutput{Result: result}
	if err != nil {
		return c.printRejection(output, err)
	}
	accepted := time.Now()
	output.Offered = c.offerVersion(ctx, before, result)
	if wait {
		err = c.waitActive(ctx, from, &output, accepted)
	}
	if printErr := c.print(output, output.lines()); printErr != nil {
		return printErr
	}
	return err
}

func (c *command) printRejection(output applyOutput, err error) error {
	lines := []string{"refused: nothing was changed"}
	if output.Outcome == publish.Unknown {
		lines = []string{"unknown: retry with --operation " + output.Operation + " to determine it"}
	}
	if errkind.Is(err, errkind.Conflict) {
		lines = append(lines, fmt.Sprintf("version %d is current; the new configuration would change:", output.Current))
		lines = append(lines, changeLines(output.Changes)...)
	}
	if printErr := c.print(output, lines); printErr != nil {
		return printErr
	}
	return err
}

func (o applyOutput) lines() []string {
	lines := []string{fmt.Sprintf("%s: version %d, operation %s, %d changes, offered to %d balancers",
		o.Outcome, o.Version, o.Operation, len(o.Changes), o.Offered)}
	lines = append(lines, changeLines(o.Changes)...)
	if o.Unverified != "" {
		lines = append(lines, "the store may lack sections of the version; apply it again when the store responds: "+o.Unverified)
	}
	if o.Active {
		lines = append(lines, fmt.Sprintf("active on all processes after %d ms", o.WaitMillis))
	}
	return lines
}

// offerVersion offers an accepted version to a few balancers in each failure domain,
// so that it spreads even if the store becomes unavailable now. It returns the number
// of balancers that accepted the offer.
func (c *command) offerVersion(ctx context.Context, before clusterStatus, result publish.Result) int {
	if result.Published == nil {
		return 0
	}
	var accepted atomic.Int64
	var offers sync.WaitGroup
	for _, p := range before.offerTargets() {
		control, err := parseControl(p.Control)
		if err != nil {
			continue
		}
		offers.Go(func() {
			if c.operator.Offer(ctx, control, *result.Published, result.NewTexts) == nil {
				accepted.Add(1)
			}
		})
	}
	offers.Wait()
	return int(accepted.Load())
}

// offerTargets returns up to offersPerDomain balancers of each failure domain.
func (s clusterStatus) offerTargets() []spread.ProcessStatus {
	var targets []spread.ProcessStatus
	count := make(map[string]int)
	for _, p := range s.processes {
		if !p.Leaf && count[p.Domain] < offersPerDomain {
			count[p.Domain]++
			targets = append(targets, p)
		}
	}
	return targets
}

// waitActive polls the processes until the version is active on all of them or ctx is
// done. Errors: NotInForce with the processes concerned, Partial if it is active on
// all known processes but unknown ones may exist.
func (c *command) waitActive(ctx context.Context, from seeds, output *applyOutput, accepted time.Time) error {
	var last clusterStatus
	for {
		start := time.Now()
		cluster := c.collectStatus(ctx, from)
		if ctx.Err() == nil || len(last.processes) == 0 {
			last = cluster
		}
		output.Behind = last.behind(output.Version)
		output.Missing = last.missing
		if len(last.processes) > 0 && len(output.Behind) == 0 && len(output.Missing) == 0 {
			output.Active = true
			output.WaitMillis = time.Since(accepted).Milliseconds()
			return last.checkComplete()
		}
		select {
		case <-ctx.Done():
			return notActiveError(output, last)
		case <-time.After(max(pollInterval, 2*time.Since(start))):
		}
	}
}

func notActiveError(output *applyOutput, cluster clusterStatus) error {
	var names []string
	for _, p := range output.Behind {
		names = append(names, fmt.Sprintf("%s at version %d", p.Name, p.ActiveVersion))
	}
	for _, m := range output.Missing {
		names = append(names, strings.TrimSpace(m.Name+" "+m.Control)+" does not respond")
	}
	if len(names) == 0 {
		names = append(names, "no balancer is known")
		if cluster.directoryErr != nil {
			names = append(names, cluster.directoryErr.Error())
		}
	}
	return errkind.New(errkind.NotInForce, "version %d is accepted but not active on all processes: %s", output.Version, strings.Join(names, ", "))
}
