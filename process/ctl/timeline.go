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

// timeline shows the events of all processes that answer, in the order of
// cause. With --json it writes one object a line. Errors: Partial naming the
// processes whose events are missing.
func (c *command) timeline(ctx context.Context, a *TimelineCommand) error {
	f := c.survey(ctx, c.findSeeds(ctx))
	var controls []netip.AddrPort
	for _, p := range f.processes {
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
	if err := incomplete(missing); err != nil {
		return err
	}
	return f.complete()
}

// writer returns the form in which events are printed.
func (c *command) writer(a *TimelineCommand) func(io.Writer, []timeline.Entry) error {
	switch {
	case a.SVG:
		return timeline.WriteSVG
	case c.arguments.JSON:
		return timeline.WriteJSON
	}
	return timeline.WriteText
}

// follow prints new events until ctx ends. Errors: Usage for a picture, which
// needs all events at once.
func (c *command) follow(ctx context.Context, controls []netip.AddrPort, a *TimelineCommand) error {
	if a.SVG {
		return errkind.New(errkind.Usage, "command line: --svg and --follow exclude each other")
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var failure error
	write := c.writer(a)
	timeline.NewCollector(controls, a.filter(time.Now())).Follow(ctx, func(entries []timeline.Entry, _ []timeline.Missing) {
		if failure = write(c.streams.Out, entries); failure != nil {
			stop()
		}
	})
	return failure
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

// incomplete returns the error of a time line from which events are missing.
func incomplete(missing []timeline.Missing) error {
	var names []string
	for _, m := range missing {
		name := strings.TrimSpace(m.Process + " " + m.Addr.String())
		if m.Err == nil {
			name += " (its oldest events are no longer kept)"
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return nil
	}
	return errkind.New(errkind.Partial, "the time line lacks events of: %s", strings.Join(names, ", "))
}
