package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/servicetime"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// Server is the last reported state of the backend server.
type Server struct {
	// Service is the service that the server provides.
	Service string
	// Domain is the failure domain that the server reports.
	Domain string
	// Incarnation identifies the run of the server; 0 before its first report.
	Incarnation uint32
	// State is its readiness for new flows.
	State steer.State
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// ColdUntil is the end of its warm-up.
	ColdUntil time.Duration
	// PredatesAgent is true if the server may hold flows that it opened before
	// the agent started.
	PredatesAgent bool
}

const (
	// maxQueuePerSlot is the number of queued requests per slot at which a server
	// is considered full. A longer queue delays responses after a restart of the
	// whole deployment; a shorter one refuses flows of an ordinary burst.
	maxQueuePerSlot = 1
	// openingTimeLimit is the time within which a running server answers an opening packet,
	// whatever its load.
	openingTimeLimit = 100 * time.Millisecond
	// coldBurst is the number of flows that a cold server may receive at once.
	coldBurst = 2.0
	// defaultSlots is used for a server that reports no number of slots.
	defaultSlots = 1
)

// bucket is a token bucket.
type bucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Duration
}

func (b *bucket) refill(now time.Duration) {
	b.tokens = min(coldBurst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

func (b *bucket) take() { b.tokens = max(0, b.tokens-1) }

// coldRate returns the number of new flows per second that a cold server may
// receive, 0 if the configuration sets no limit.
func coldRate(v *routes.Version, service string) float64 {
	if v == nil {
		return 0
	}
	return v.Services[service].ColdRate
}

// check reports whether the server may take a new flow when it has room. If not, the error
// kind is the reason.
func (g *Gate) check(d *delivery, now time.Duration) (errkind.Kind, bool) {
	if g.version == nil {
		return errkind.NotInForce, false
	}
	if kind, ok := g.checkRoute(d); !ok {
		return kind, false
	}
	switch g.server.State {
	case steer.Ready, steer.Cold:
	case steer.Draining:
		return errkind.Draining, false
	default:
		return errkind.BackendUnavailable, false
	}
	if g.Suspected(now) {
		return errkind.BackendUnavailable, false
	}
	if g.version.OutDomains[g.options.Domain] || g.version.OutDomains[g.server.Domain] {
		return errkind.DomainOut, false
	}
	if limit := g.version.Services[g.server.Service].MaxConnections; limit > 0 && len(g.flows) >= limit {
		return errkind.Overloaded, false
	}
	return 0, true
}

// hasRoom reports whether the server has room for a new flow of a route without a latency
// target.
func (g *Gate) hasRoom(now time.Duration) bool {
	return g.requests.open < (1+maxQueuePerSlot)*max(g.server.Slots, defaultSlots) && !g.coldLimited(now)
}

// coldLimited reports whether the server is cold and has received its share of new flows.
func (g *Gate) coldLimited(now time.Duration) bool {
	g.bucket.refill(now)
	return g.bucket.rate > 0 && now < g.server.ColdUntil && g.bucket.tokens < 1
}

// Suspected reports whether the server has probably terminated: it has not answered an opening
// packet in time, or has returned one, which a running server does only at its limit of
// connections, and has sent nothing since.
func (g *Gate) Suspected(now time.Duration) bool {
	return g.suspectedFrom > 0 && now >= g.suspectedFrom
}

// ClearSuspicion records that the server has accepted a connection.
func (g *Gate) ClearSuspicion() { g.suspectedFrom = 0 }

// checkRoute reports whether the route of the packet has the server's service as a
// target. If the balancer has a newer version than the agent, it must have selected that
// service: its view of the agent may be out of date.
func (g *Gate) checkRoute(d *delivery) (errkind.Kind, bool) {
	if d.frame.Version.Newer(g.version.Revision.Wire()) {
		return errkind.WrongService, d.frame.ServiceTag() == passthrough.ServiceTagOf(g.server.Service)
	}
	route := g.version.Route(d.flow.Service.AddrPort())
	if route == nil {
		return errkind.NotFound, false
	}
	if !route.HasTarget(g.server.Service) {
		return errkind.WrongService, false
	}
	return 0, true
}

// SetServer applies a report of the backend server. If the incarnation has
// changed or the server is down, its flows no longer exist, and they are reset at
// their callers at once.
func (g *Gate) SetServer(server Server, now time.Duration) {
	if g.server.Incarnation != 0 && server.Incarnation != g.server.Incarnation {
		g.abortFlows(errkind.BackendUnavailable, now)
		server.PredatesAgent = false
		g.health = healthMeter{decayedAt: now}
		g.serviceTime = servicetime.Estimator{}
	}
	if server.State == steer.Down && g.server.State != steer.Down {
		g.abortFlows(errkind.BackendUnavailable, now)
	}
	if g.server.State == steer.Unknown && server.State != steer.Unknown {
		g.ownersChanged = true
	}
	if server.Incarnation != g.server.Incarnation || server.State == steer.Down {
		g.suspectedFrom = 0
	}
	changed := server.State != g.server.State || server.Service != g.server.Service || server.Domain != g.server.Domain
	g.server = server
	g.bucket.rate = coldRate(g.version, server.Service)
	g.resolveCheckpoint(now)
	g.lastEvent = now
	if changed {
		g.reviewQueue(now)
	}
}

// Server returns the last reported state of the backend server.
func (g *Gate) Server() Server { return g.server }

// abortFlows resets all flows of a server that is known to have terminated.
func (g *Gate) abortFlows(kind errkind.Kind, now time.Duration) {
	for key, f := range g.flows {
		if f.phase == phaseAborted {
			continue
		}
		if f.phase == phaseOpening && f.hedgeable {
			// Another server may hold the flow.
			g.release(key, f)
			delete(g.flows, key)
			g.notifyRefused(f.origin, key, 0)
			continue
		}
		closed := f.phase == phaseClosed
		g.close(key, f, now)
		f.phase = phaseAborted
		if !closed {
			g.reset(key, f.callerAck, kind)
		}
	}
}
