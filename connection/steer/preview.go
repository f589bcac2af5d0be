package steer

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// Basis is how the server of a new flow is found.
type Basis string

// The ways in which the server of a new flow is found.
const (
	// BasisNone is a flow that gets no server.
	BasisNone Basis = "none"
	// BasisDrawn is the best of the drawn servers with a fresh report.
	BasisDrawn Basis = "drawn"
	// BasisSampled is the best of a random sample, since no drawn server has a fresh report.
	BasisSampled Basis = "sampled"
	// BasisHeld is the server that got an earlier opening packet of the same flow.
	BasisHeld Basis = "held"
)

// Preview is what would happen to a flow that is opened now.
type Preview struct {
	// Version is the active version, nil for none.
	Version *routes.Version
	// Route is the route of the address, nil for none.
	Route *routes.Route
	// Refusal is set if there is no version, no route, or no service with a weight.
	Refusal *Refusal
	// Services holds the service that is picked for the flow of the caller, or all services
	// of the route if no caller is given.
	Services []ServicePreview
}

// Refusal is a flow that gets no server.
type Refusal struct {
	// Kind is the reason.
	Kind errkind.Kind
	// Reset is true if the caller gets a reset in response to the copy of its opening packet
	// with the number Copy, 0 being the first packet. Otherwise it gets no response.
	Reset bool
	Copy  uint32
}

// ServicePreview is the choice among the servers of a service.
type ServicePreview struct {
	// Service is the name of the service, Share its share of the new flows of the route.
	Service string
	Share   float64
	// Basis is how Choice was found.
	Basis Basis
	// Choice is the agent that gets the opening packet, RunnerUp the one to which that agent
	// forwards it if it refuses the flow; 0 for none.
	Choice, RunnerUp passthrough.Endpoint
	// Refusal is set if no server is chosen.
	Refusal *Refusal
	// Servers are the servers of the service: the choice, the others that were compared with
	// it by increasing Value, then the rest by name.
	Servers []ServerPreview
}

// ServerPreview is a server of a service as the balancer sees it.
type ServerPreview struct {
	Server
	// ReportAge is the age of its last report.
	ReportAge time.Duration
	// Excluded is the reason for which it gets no new flows, empty if it may.
	Excluded string
	// Drawn is true if it is drawn for the next flows.
	Drawn bool
	// ExpectedPending is the number of requests that a new one is expected to wait for.
	ExpectedPending float64
	// Completion is the expected completion if flows of the route are placed by it, else 0.
	// Score is the load per slot with penalties, by which they are placed otherwise.
	Completion time.Duration
	Score      float64
	// Compared is true if the server was compared with others in the choice, Value the value
	// that decided: Completion in nanoseconds with its random factor, or Score.
	Compared bool
	Value    float64
}

// Preview returns what would happen to a flow from a caller to an address if its opening
// packet arrived now. Without a caller, 0, it previews each service of the route. It runs the
// code that handles opening packets on a copy of the state with random numbers of its own, so
// nothing is sent and the router is not changed.
func (r *Router) Preview(address, caller passthrough.Endpoint) Preview {
	p := Preview{Version: r.version}
	if r.version == nil {
		p.Refusal = &Refusal{Kind: errkind.NotInForce}
		return p
	}
	flow := passthrough.Flow{Caller: caller, Service: address}
	p.Route = r.version.Route(address.AddrPort())
	if p.Route == nil {
		p.Refusal = r.newTrial(flow, nil).open().Refusal
		return p
	}
	picked := p.Route.Pick(flow.Hash())
	if picked == "" {
		p.Refusal = r.newTrial(flow, &routes.Route{Targets: []routes.Target{{}}}).open().Refusal
		return p
	}
	total := 0.0
	for _, target := range p.Route.Targets {
		total += float64(target.Weight)
	}
	for _, target := range p.Route.Targets {
		if target.Weight == 0 || (caller != 0 && target.Service != picked) {
			continue
		}
		// A route with this target alone makes the trial pick its service.
		route := *p.Route
		route.Targets = []routes.Target{target}
		s := r.newTrial(flow, &route).open()
		s.Service, s.Share = target.Service, float64(target.Weight)/total
		p.Services = append(p.Services, s)
	}
	return p
}

// trial is a copy of the parts of a router that a flow to a service depends on.
type trial struct {
	router  *Router
	flow    passthrough.Flow
	servers map[*entry]*ServerPreview
	drawn   []*entry
	// placed is true once a server has been chosen, sent once a packet has been sent to an
	// agent. Packets to callers are not recorded, since refused is set for them.
	placed, sent bool
	to           passthrough.Endpoint
	frame        passthrough.Frame
	refused      bool
	kind         errkind.Kind
}

// newTrial copies the state for a flow to an address with the given route, nil for none. The
// copy has a router of its own instead of being a shallow one, so that no map or server is
// shared with the original. It has no hedger: the first copy of an opening packet is placed
// without it.
func (r *Router) newTrial(flow passthrough.Flow, route *routes.Route) *trial {
	t := &trial{flow: flow, servers: map[*entry]*ServerPreview{}}
	now := r.now
	if r.options.Now != nil {
		now = r.options.Now()
	}
	t.router = New(Options{
		Format: r.options.Format, Domain: r.options.Domain, Self: r.options.Self, CallerPort: r.options.CallerPort,
		Sender:      t,
		OnRefusal:   func(_ passthrough.Flow, kind errkind.Kind) { t.refused, t.kind = true, kind },
		OnPlacement: func(passthrough.Flow, *Server, time.Duration) { t.placed = true },
	})
	t.router.now = now
	t.router.onCompare = t.compare
	for domain, roundTrip := range r.roundTrips {
		*t.router.roundTripTo(domain) = *roundTrip
	}
	version := *r.version
	version.Routes = map[netip.AddrPort]*routes.Route{}
	t.router.version = &version
	if route == nil {
		return t
	}
	version.Routes[flow.Service.AddrPort()] = route
	service := route.Targets[0].Service
	h, held := r.holders.Peek(flow)
	if held {
		t.router.holders.Put(flow, h)
	}
	copies := map[*entry]*entry{}
	// The candidates keep their order, so that equal random numbers give equal samples.
	if c := r.services[service]; c != nil {
		for _, e := range slices.Concat(c[:]...) {
			copies[e] = t.copyEntry(e)
		}
	}
	for agent, e := range r.byAgent {
		if copies[e] == nil && (e.Service == service || (held && agent == h.agent)) {
			copies[e] = t.copyEntry(e)
		}
	}
	if d := r.draws[service]; d != nil {
		copied := &draw{drawnAt: d.drawnAt, placedAt: d.placedAt}
		for _, e := range d.entries {
			if c := copies[e]; c != nil {
				copied.entries = append(copied.entries, c)
			}
		}
		t.router.draws[service] = copied
		t.drawn = slices.Clone(copied.entries)
	}
	t.describe(route)
	return t
}

// copyEntry adds a copy of a server to the router of the trial.
func (t *trial) copyEntry(e *entry) *entry {
	c := &entry{
		Server: e.Server, openedSinceReport: e.openedSinceReport, placements: e.placements, requestedAt: e.requestedAt, position: -1,
	}
	t.router.byAgent[c.Agent] = c
	t.router.updateCandidate(c)
	return c
}

// describe describes the servers before the flow is placed.
func (t *trial) describe(route *routes.Route) {
	r := t.router
	for _, e := range r.byAgent {
		s := &ServerPreview{Server: e.Server, ReportAge: r.now - e.ReportedAt, Drawn: slices.Contains(t.drawn, e)}
		t.servers[e] = s
		if e.position < 0 {
			s.Excluded = r.reasonExcluded(e)
			continue
		}
		s.ExpectedPending, s.Completion, s.Score = r.pending(e), r.expectedCompletion(e, route), r.score(e)
	}
}

// reasonExcluded returns why a server that is not eligible gets no new flows.
func (r *Router) reasonExcluded(e *entry) string {
	switch {
	case !e.Reachable:
		return "unreachable"
	case r.version.OutDomains[e.Domain]:
		return "domain out of service"
	}
	return e.State.String()
}

// observed returns a measure that reports its values to onCompare, if that is set. It is
// applied once for each opening packet, since a check in each comparison prevents inlining.
func (r *Router) observed(m measure) measure {
	if r.onCompare == nil {
		return m
	}
	return func(r *Router, e *entry) float64 {
		value := m(r, e)
		r.onCompare(e, value)
		return value
	}
}

// compare records a comparison for the choice, but not one for the runner-up.
func (t *trial) compare(e *entry, value float64) {
	if s := t.servers[e]; s != nil && !t.placed {
		s.Compared, s.Value = true, value
	}
}

// Send implements passthrough.Sender. It records the frame of a packet to an agent.
func (t *trial) Send(datagram []byte, to passthrough.Endpoint) {
	if t.refused || t.sent {
		return
	}
	if _, err := passthrough.ParseFrame(datagram, &t.frame); err == nil {
		t.sent, t.to = true, to
	}
}

// open handles the copies of an opening packet until there is a response or a server.
func (t *trial) open() ServicePreview {
	segment := passthrough.Segment{Source: t.flow.Caller, Target: t.flow.Service, Flags: passthrough.Open}
	p := ServicePreview{Basis: BasisNone}
	for {
		t.router.handleOpening(make([]byte, passthrough.FrameSize), &segment)
		if t.sent || t.refused || segment.IsLastRetransmission() {
			break
		}
		segment.Ack++
	}
	switch {
	case t.sent:
		p.Choice, p.RunnerUp, p.Basis = t.to, t.frame.Alternate, t.basis()
	case t.refused:
		p.Refusal = &Refusal{Kind: t.kind, Reset: true, Copy: segment.Ack}
	default:
		p.Refusal = &Refusal{Kind: errkind.BackendUnavailable}
	}
	for _, s := range t.servers {
		if p.Basis == BasisHeld {
			// They were compared for the runner-up only.
			s.Compared, s.Value = false, 0
		}
		p.Servers = append(p.Servers, *s)
	}
	rank := func(s ServerPreview) int {
		switch {
		case s.Agent == p.Choice:
			return 0
		case s.Compared:
			return 1
		}
		return 2
	}
	slices.SortFunc(p.Servers, func(a, b ServerPreview) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Value, b.Value), strings.Compare(a.Name, b.Name))
	})
	return p
}

// basis returns how the server was found.
func (t *trial) basis() Basis {
	if !t.placed {
		return BasisHeld
	}
	for _, e := range t.drawn {
		if t.servers[e].Compared && e.hasFreshReport(t.router.now) {
			return BasisDrawn
		}
	}
	return BasisSampled
}
