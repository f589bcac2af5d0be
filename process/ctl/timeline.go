package ctl

import (
	"context"
	"io"
	"net/netip"
	"strings"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/process/timeline"
)

// timeline prints the events of all processes that respond, in causal order. With
// --json it prints one object per line. Errors: Partial with the processes whose events
// are missing.
func (c *command) timeline(ctx context.Context, a *TimelineCommand) error {
	cluster := c.collectStatus(ctx, c.findSeeds(ctx))
	var controls []netip.AddrPort
	for _, p := range cluster.processes {
		if control, err := parseControl(p.Control); err == nil {
			controls = append(controls, control)
		}
	}
	if a.Follow {
		return c.follow(ctx, controls, a)
	}
	entries, missing := timeline.Collect(ctx, controls, a.filter(time.Now()))
	if err := c.writer(a)(c.streams.Out, entries); err != nil {
		return err
	}
	if err := missingEventsError(missing); err != nil {
		return err
	}
	return cluster.checkComplete()
}

// writer returns the function that prints events in the requested format.
func (c *command) writer(a *TimelineCommand) func(io.Writer, []timeline.Entry) error {
	switch {
	case a.SVG:
		return timeline.WriteSVG
	case c.arguments.JSON:
		return timeline.WriteJSON
	}
	return timeline.WriteText
}

// follow prints new events until ctx is done. Errors: Usage for an SVG chart, which
// needs all events at once.
func (c *command) follow(ctx context.Context, controls []netip.AddrPort, a *TimelineCommand) error {
	if a.SVG {
		return errkind.New(errkind.Usage, "command line: --svg and --follow are mutually exclusive")
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var writeErr error
	write := c.writer(a)
	timeline.NewCollector(controls, a.filter(time.Now())).Follow(ctx, func(entries []timeline.Entry, _ []timeline.Missing) {
		if writeErr = write(c.streams.Out, entries); writeErr != nil {
			stop()
		}
	})
	return writeErr
}

func (a *TimelineCommand) filter(now time.Time) timeline.Filter {
	filter := timeline.Filter{
		Service: a.Service, Server: a.Server, Domain: a.Domain, Request: a.Request,
		Since: timeline.StampAt(now.Add(-a.Since)),
	}
	for _, kind := range a.Kind {
		filter.Kinds = append(filter.Kinds, event.Kind(kind))
	}
	return filter
}

// missingEventsError returns an error that lists the processes whose events are
// missing, or nil if there are none.
func missingEventsError(missing []timeline.Missing) error {
	var names []string
	for _, m := range missing {
		name := strings.TrimSpace(m.Process + " " + m.Addr.String())
		if m.Err == nil {
			name += " (its oldest events were overwritten)"
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil
	}
	return errkind.New(errkind.Partial, "the timeline lacks events of: %s", strings.Join(names, ", "))
}
