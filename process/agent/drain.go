package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotbank/event"
	"bergamotbank/process/membership"
)

// stop drains the agent and announces to the balancers that it leaves.
func (a *Agent) stop(ctx context.Context) {
	a.recorder.Record(event.Event{Kind: event.ProcessStopping, Peer: a.settings.Name})
	a.drain(ctx)
	a.announcer.Leave(ctx)
}

// awaitDrainRequest drains the agent when an operator requests it. The process
// keeps running.
func (a *Agent) awaitDrainRequest(ctx context.Context) error {
	select {
	case <-a.drainRequested:
		a.drain(ctx)
	case <-ctx.Done():
	}
	return nil
}

func (a *Agent) requestDrain() {
	select {
	case a.drainRequested <- struct{}{}:
	default:
	}
}

// drainAnnounceDelay is the time for which a draining agent still accepts new flows
// and requests, so that balancers and the service's other agents learn of the
// drain before it refuses them: a new flow that no agent accepts costs its caller
// a second.
const drainAnnounceDelay = time.Second

// drain announces the drain, refuses new flows and requests after
// drainAnnounceDelay, and waits up to the stop timeout for open requests and
// connections to finish.
func (a *Agent) drain(ctx context.Context) {
	if !a.draining.Swap(true) {
		a.recorder.Record(event.Event{Kind: event.DrainStarted})
		a.announcer.SetState(membership.Draining, 0)
		select {
		case <-time.After(drainAnnounceDelay):
		case <-ctx.Done():
		}
		a.endpoint.SetDraining(true)
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, time.Duration(a.settings.Agent.StopTimeout))
	defer cancel()
	if err := a.gate.Drain(timeoutCtx); err != nil {
		a.logger.Warn("drain ended with requests or connections still open", zap.Error(err))
		return
	}
	a.recorder.Record(event.Event{Kind: event.DrainFinished})
}
