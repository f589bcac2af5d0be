package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotbank/event"
	"bergamotbank/process/membership"
)

// stop drains and tells the balancers that the agent leaves.
func (a *Agent) stop(work context.Context) {
	a.recorder.Record(event.Event{Kind: event.ProcessStopping, Peer: a.settings.Name})
	a.drainNow(work)
	a.announcer.Leave(work)
}

// watchDrain drains when an operator orders it. The process goes on.
func (a *Agent) watchDrain(ctx context.Context) error {
	select {
	case <-a.drain:
		a.drainNow(ctx)
	case <-ctx.Done():
	}
	return nil
}

func (a *Agent) startDrain() {
	select {
	case a.drain <- struct{}{}:
	default:
	}
}

// announceGrace is the time for which a draining agent still takes new work, so
// that balancers and siblings learn of the drain before it refuses: a new flow
// that nobody takes costs its caller a second.
const announceGrace = time.Second

// drainNow announces the drain, refuses new work a moment later and waits for
// the open work, at most for the stop timeout.
func (a *Agent) drainNow(ctx context.Context) {
	if !a.draining.Swap(true) {
		a.recorder.Record(event.Event{Kind: event.DrainStarted})
		a.announcer.SetState(membership.Draining, 0)
		select {
		case <-time.After(announceGrace):
		case <-ctx.Done():
		}
		a.endpoint.SetDraining(true)
	}
	limited, cancel := context.WithTimeout(ctx, time.Duration(a.settings.Agent.StopTimeout))
	defer cancel()
	if err := a.gate.Drain(limited); err != nil {
		a.logger.Warn("stopped before all work had finished", zap.Error(err))
		return
	}
	a.recorder.Record(event.Event{Kind: event.DrainFinished})
}
