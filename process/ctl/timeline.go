package ctl

import (
	"context"

	"bergamotbank/errkind"
)

// timelineFunc shows the events of the processes at the given control
// addresses.
type timelineFunc func(ctx context.Context, c *command, a *TimelineCommand, controls []string) error

// showTimeline is set once the time line can be collected.
var showTimeline timelineFunc

func (c *command) timeline(ctx context.Context, a *TimelineCommand) error {
	if showTimeline == nil {
		return errkind.New(errkind.NotFound, "this program was built without the time line")
	}
	f := c.survey(ctx, c.findSeeds(ctx))
	var controls []string
	for _, p := range f.processes {
		controls = append(controls, p.Control)
	}
	if err := showTimeline(ctx, c, a, controls); err != nil {
		return err
	}
	return f.complete()
}
