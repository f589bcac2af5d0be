package gate

import (
	"time"

	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// Server is what the backend server last said of itself.
type Server struct {
	// Service is the service that the server runs.
	Service string
	// Domain is the failure domain that the server names.
	Domain string
	// Incarnation is the run of the server; 0 before its first report.
	Incarnation uint32
	// State is its readiness for new flows.
	State steer.State
	// Slots is the number of requests that it works on at once.
	Slots int
	// ColdUntil is when it will be warm.
	ColdUntil time.Duration
	// Older tells that the server may hold flows that it opened before the agent
	// started.
	Older bool
}

const (
	// queuePerSlot is the number of waiting requests a slot from which a server
	// counts as full: a longer queue makes answers late after a restart of
	// everything, a shorter one refuses flows of an ordinary burst.
	queuePerSlot = 1
	// coldBurst is the number of flows that a cold server gets at once.
	coldBurst = 2.0
	// unknownSlots stands for the slots of a server that names none.
	unknownSlots = 1
)

// bucket is a token bucket.
type bucket struct {
	rate   float64
	tokens float64
	filled time.Duration
}

func (b *bucket) fill(now time.Duration) {
	b.tokens = min(coldBurst, b.tokens+b.rate*(now-b.filled).Seconds())
	b.filled = now
}

func (b *bucket) take() { b.tokens = max(0, b.tokens-1) }

// coldRate returns the number of new flows a second that a cold server bears, 0
// when the configuration sets no limit.
func coldRate(v *routes.Version, service string) float64 {
	if v == nil {
		return 0
	}
	return v.Services[service].ColdRate
}

// admit decides whether the server may take a new flow. The error kind tells why
// not.
func (g *Gate) admit(d *delivery, now time.Duration) (errkind.Kind, bool) {
	if g.version == nil {
		return errkind.NotInForce, false
	}
	if kind, ok := g.routed(d); !ok {
		return kind, false
	}
	switch g.server.State {
	case steer.Ready, steer.Cold:
	case steer.Draining:
		return errkind.Draining, false
	default:
		return errkind.BackendUnavailable, false
	}
	if g.version.OutDomains[g.options.Domain] || g.version.OutDomains[g.server.Domain] {
		return errkind.DomainOut, false
	}
	if limit := g.version.Services[g.server.Service].MaxConnections; limit > 0 && len(g.flows) >= limit {
		return errkind.Overloaded, false
	}
	if g.work.open >= (1+queuePerSlot)*max(g.server.Slots, unknownSlots) {
		return errkind.Overloaded, false
	}
	g.bucket.fill(now)
	if g.bucket.rate > 0 && now < g.server.ColdUntil && g.bucket.tokens < 1 {
		return errkind.Overloaded, false
	}
	return 0, true
}

// routed tells whether the route of the packet leads to the server's service. A
// balancer that knows a newer version than the agent is believed.
func (g *Gate) routed(d *delivery) (errkind.Kind, bool) {
	if d.frame.Version > g.version.Revision {
		return 0, true
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

// SetServer takes over what the backend server says of itself. Flows of a former
// incarnation ended with it; their callers are told at once.
func (g *Gate) SetServer(server Server, now time.Duration) {
	if g.server.Incarnation != 0 && server.Incarnation != g.server.Incarnation {
		g.lose(errkind.BackendUnavailable, now)
		server.Older = false
		g.health = healthMeter{last: now}
	}
	if server.State == steer.Down && g.server.State != steer.Down {
		g.lose(errkind.BackendUnavailable, now)
	}
	g.server = server
	g.bucket.rate = coldRate(g.version, server.Service)
	g.settleRecalled(now)
}

// Server returns what the backend server last said of itself.
func (g *Gate) Server() Server { return g.server }

// lose resets all flows of a server that is known to have ended.
func (g *Gate) lose(kind errkind.Kind, now time.Duration) {
	for key, f := range g.flows {
		if f.phase == phaseLost {
			continue
		}
		ended := f.phase == phaseClosed
		g.close(key, f, now)
		f.phase = phaseLost
		if !ended {
			g.reset(key, f.callerAck, kind)
		}
	}
}
