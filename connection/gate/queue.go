package gate

import (
	"time"

	"bergamotbank/connection/backlog"
	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// load returns the load of the server on which decisions about new flows depend.
func (g *Gate) load(now time.Duration) backlog.Load {
	serviceTime, _ := g.ServiceTime()
	load := backlog.Load{Slots: max(g.server.Slots, defaultSlots), ServiceTime: serviceTime, Requests: g.requests.open}
	if g.bucket.rate > 0 && now < g.server.ColdUntil {
		load.Interval = time.Duration(float64(time.Second) / g.bucket.rate)
		load.Blocked = g.coldLimited(now)
	}
	return load
}

// openOrQueue sends an opening packet of a route with a latency target to the server, lets it
// wait, offers it to the alternate agent, or refuses it.
func (g *Gate) openOrQueue(d *delivery, route *routes.Route, now time.Duration) {
	verdict := g.backlog.Arrive(backlog.Opening{
		Flow: d.flow, Copy: d.segment.Ack, Priority: route.Priority, Target: route.LatencyTarget, Frame: d.frame, Datagram: d.datagram,
	}, g.load(now), now)
	event := QueueEvent{Expected: verdict.Expected, Ahead: verdict.Ahead, Priority: route.Priority, Late: verdict.Late}
	switch verdict.Decision {
	case backlog.Forward:
		g.open(d, now)
	case backlog.Wait:
		if verdict.Refreshed {
			return
		}
		g.observeQueue(d.flow, Waiting, event)
		if d.frame.Hops > 0 {
			// The caller's next copy comes here too and does not wait at two agents.
			g.notifyBalancer(passthrough.Redirected, d.frame.Origin, d.flow)
		}
	case backlog.PassOn:
		g.observeQueue(d.flow, PassedOn, event)
		g.refuse(d, errkind.Overloaded)
	case backlog.Refuse:
		g.observeQueue(d.flow, Refused, event)
		g.refuseAtOnce(d)
	}
}

// refuseAtOnce resets a flow that cannot be opened before its caller gives up.
func (g *Gate) refuseAtOnce(d *delivery) {
	g.counters.Refused++
	g.options.Observer.Refused(d.flow, errkind.Overloaded, d.frame, 0)
	g.resetUnopened(d, errkind.Overloaded)
}

// forwardQueued sends waiting opening packets to the server while it has room.
func (g *Gate) forwardQueued(now time.Duration) {
	if g.backlog.Len() > 0 && g.Suspected(now) {
		g.reviewQueue(now)
	}
	for g.backlog.Len() > 0 {
		e, expired := g.backlog.Next(g.load(now), now)
		if e == nil {
			return
		}
		if expired {
			g.observeLeaving(e, Expired, now)
			continue
		}
		d := deliveryOf(e, now)
		if f := g.flows[d.flow]; f != nil && f.phase != phaseAborted {
			g.observeLeaving(e, Withdrawn, now)
			continue
		}
		if kind, ok := g.check(&d, now); !ok {
			g.refuseQueued(e, &d, kind, now)
			continue
		}
		g.observeLeaving(e, Forwarded, now)
		g.open(&d, now)
	}
}

// expireQueued removes the waiting opening packets that cannot be forwarded before their
// callers give up.
func (g *Gate) expireQueued(now time.Duration) {
	if g.backlog.Len() == 0 {
		return
	}
	for _, e := range g.backlog.Expire(g.load(now), now) {
		if g.backlog.GaveUp(e, now) {
			g.observeLeaving(e, Expired, now)
			continue
		}
		g.observeLeaving(e, Refused, now)
		d := deliveryOf(e, now)
		g.refuseAtOnce(&d)
	}
}

// reviewQueue checks all waiting opening packets again after a change of the configuration
// version or of the server. Those that the server may no longer get are forwarded to other
// agents or refused, the others get the rank of their current routes.
func (g *Gate) reviewQueue(now time.Duration) {
	if g.backlog.Len() == 0 {
		return
	}
	for _, e := range g.backlog.Take() {
		d := deliveryOf(e, now)
		if kind, ok := g.check(&d, now); !ok {
			g.refuseQueued(e, &d, kind, now)
			continue
		}
		route := g.version.Route(d.flow.Service.AddrPort())
		switch {
		case route != nil && route.LatencyTarget > 0:
			g.backlog.Restore(e, route.Priority, route.LatencyTarget)
		case g.hasRoom(now):
			g.observeLeaving(e, Forwarded, now)
			g.open(&d, now)
		default:
			g.refuseQueued(e, &d, errkind.Overloaded, now)
		}
	}
}

// ReleaseQueue passes all waiting opening packets on or refuses them, because the agent is
// about to stop.
func (g *Gate) ReleaseQueue(now time.Duration) {
	for _, e := range g.backlog.Take() {
		d := deliveryOf(e, now)
		g.refuseQueued(e, &d, errkind.Draining, now)
	}
}

// refuseQueued forwards an opening packet that has left the queue to another agent or refuses
// it.
func (g *Gate) refuseQueued(e *backlog.Entry, d *delivery, kind errkind.Kind, now time.Duration) {
	outcome := Refused
	if g.refuse(d, kind) {
		outcome = PassedOn
	}
	g.observeLeaving(e, outcome, now)
}

// withdraw removes the waiting opening packet of a flow.
func (g *Gate) withdraw(flow passthrough.Flow, now time.Duration) {
	if g.backlog.Len() == 0 {
		return
	}
	if e := g.backlog.Remove(flow); e != nil {
		g.observeLeaving(e, Withdrawn, now)
	}
}

// deliveryOf returns the delivery of a waiting opening packet.
func deliveryOf(e *backlog.Entry, now time.Duration) delivery {
	return delivery{
		frame: e.Frame, datagram: e.Datagram, packet: e.Datagram[passthrough.FrameSize:],
		segment: &passthrough.Segment{Ack: e.Copy}, flow: e.Flow, opensElsewhere: e.HasLaterCopy(now),
	}
}

func (g *Gate) observeLeaving(e *backlog.Entry, outcome QueueOutcome, now time.Duration) {
	g.observeQueue(e.Flow, outcome, QueueEvent{Waited: now - e.ArrivedAt, Expected: e.Expected, Ahead: e.Ahead, Priority: e.Priority, Late: e.Late})
}

// observeQueue counts and reports a decision of the admission queue.
func (g *Gate) observeQueue(flow passthrough.Flow, outcome QueueOutcome, event QueueEvent) {
	c := &g.counters
	*[...]*uint64{&c.Queued, &c.QueueForwarded, &c.QueuePassedOn, &c.QueueRefused, &c.QueueExpired, &c.QueueWithdrawn}[outcome]++
	event.Outcome = outcome
	g.options.Observer.Queued(flow, event)
}

// reserve reserves a slot for the first request of a flow.
func (g *Gate) reserve(key passthrough.Flow, f *flow, now time.Duration) {
	f.reserved = true
	g.backlog.Reserve(key, now)
}

// release ends the reservation of a flow that has ended or opened elsewhere.
func (g *Gate) release(key passthrough.Flow, f *flow) {
	if f.reserved {
		f.reserved = false
		g.backlog.Release(key)
	}
}

// Waiting returns the number of opening packets that wait for room at the server.
func (g *Gate) Waiting() int { return g.backlog.Len() }

// Pending returns the number of requests in progress, flows being opened and opening packets
// that wait.
func (g *Gate) Pending() int {
	return g.requests.open + g.backlog.Reserved(g.lastEvent) + g.backlog.Len()
}
