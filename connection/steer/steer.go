// Package steer routes callers' packets at a balancer: packets of an open flow to
// the agent that holds it, and an opening packet to the agent of a backend server
// that provides the service. The balancer only caches the holders of flows; the
// agents are authoritative.
package steer

import (
	"math/rand/v2"
	"time"

	"bergamotbank/connection/hedge"
	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

const (
	// holderRetention is the minimum time for which the holder of an unused flow
	// stays in the cache. It is longer than the usual idle timeout of 15 s.
	holderRetention = 30 * time.Second
	// lookupRetention is how long the number of lookups for a flow is kept. Callers
	// retransmit for one or two seconds.
	lookupRetention = 3 * time.Second
	// maxHolders limits one generation of the cache to about 4 MB.
	maxHolders = 64 << 10
)

// State is the readiness of a backend server for new flows.
type State uint8

// The states of a backend server.
const (
	// Unknown is a server that has not reported yet.
	Unknown State = iota
	// Ready takes new flows.
	Ready
	// Cold is warming up and takes few new flows.
	Cold
	// Draining keeps its flows and takes no new ones.
	Draining
	// Down does not respond.
	Down
	// Failing reports that it is ready but fails some of its requests.
	Failing
)

// String returns the name of the state in logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Cold:
		return "cold"
	case Draining:
		return "draining"
	case Down:
		return "down"
	case Failing:
		return "failing"
	case Unknown:
	}
	return "unknown"
}

// Server is the last reported state of a backend server and its agent.
type Server struct {
	// Name is the name of the agent.
	Name string
	// Agent is the peer address of the agent.
	Agent passthrough.Endpoint
	// Service and Domain are the service and the failure domain of the server.
	Service, Domain string
	// State is the state of the server.
	State State
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// MeanOpenRequests is the mean number of open requests.
	MeanOpenRequests float64
	// Flows is the number of open flows.
	Flows int
	// HasLoad is true if the report contains Pending and ServiceTime.
	HasLoad bool
	// Pending is the number of requests in progress, flows being opened and opening packets
	// that wait at the agent.
	Pending int
	// ServiceTime is the mean time that the server works on a request, 0 if it is not known.
	ServiceTime time.Duration
	// ReportedAt is the time of the agent's last report.
	ReportedAt time.Duration
	// Reachable is true if heartbeats arrive in both directions between the agent
	// and this balancer.
	Reachable bool
	// TimedOut is true if no heartbeat of the agent has arrived for so long that its
	// backend server is presumed to have failed.
	TimedOut bool
}

// Counters count packets by outcome.
type Counters struct {
	// Packets counts all packets read, Malformed those that could not be parsed.
	Packets, Malformed uint64
	// Opens counts opening packets for which a server was selected, Known and
	// Unknown the packets of flows whose holder was cached or not cached.
	Opens, Known, Unknown uint64
	// NoRoute, NoServer and HolderLost count packets and flows that could not be
	// forwarded, by reason.
	NoRoute, NoServer, HolderLost uint64
	// Dropped counts packets for which there was no active version or no holder.
	Dropped uint64
	hedge.Counters
}

// Options configure a Router.
type Options struct {
	// Format is the packet format of callers.
	Format passthrough.Format
	// Domain is the failure domain of the balancer.
	Domain string
	// Self is the peer address of the balancer.
	Self passthrough.Endpoint
	// CallerPort is the UDP port at which callers receive packets.
	CallerPort uint16
	// Sender sends datagrams to agents and callers.
	Sender passthrough.Sender
	// OnRefusal is called for each flow that is reset at its caller; nil for none.
	OnRefusal func(flow passthrough.Flow, kind errkind.Kind)
	// OnLookup is called for each packet of a flow whose holder is not cached, with
	// the agent that receives the lookup; nil for none.
	OnLookup func(flow passthrough.Flow, owner passthrough.Endpoint)
	// OnPlacement is called when a server is selected for a new flow, with its expected
	// completion, or 0 if it was not selected by that; nil for none.
	OnPlacement func(flow passthrough.Flow, server *Server, completion time.Duration)
	// Now returns the time, on the clock of Server.ReportedAt. It is required with HedgeLimit.
	Now func() time.Duration
	// RequestReport requests a report of an agent, which answers with its load. If it is nil,
	// flows are placed by the last reports.
	RequestReport func(agent passthrough.Endpoint)
	// HedgeLimit is the share of the openings of a service for which a second opening packet
	// may be sent, 0 for none.
	HedgeLimit float64
	// OnHedge is called when a second opening packet is sent, with the servers of both and the
	// time since the first; nil for none.
	OnHedge func(flow passthrough.Flow, first, second *Server, waited time.Duration)
}

// Router routes the callers' packets of one balancer. It is not safe for
// concurrent use.
type Router struct {
	options  Options
	version  *routes.Version
	byAgent  map[passthrough.Endpoint]*entry
	services map[string]*candidates
	// loads holds the load of each service that has candidates.
	loads map[string]*serviceLoad
	// roundTrips holds the round-trip time to each failure domain, ownRoundTrip that to the own
	// one.
	roundTrips   map[string]*roundTripTime
	ownRoundTrip *roundTripTime
	draws        map[string]*draw
	random       *rand.Rand
	// randomBits is the random number of the choice in progress.
	randomBits uint64
	// onCompare is called for each server that is compared with others for a flow, with its
	// value of the measure; nil except in previews.
	onCompare func(e *entry, value float64)
	// now is the time of the last choice, so that the clock is read once for each opening
	// packet.
	now      time.Duration
	owners   *passthrough.Owners
	holders  *passthrough.ExpiringMap[holder]
	lookups  *passthrough.ExpiringMap[uint8]
	segment  passthrough.Segment
	counters Counters
	// hedger is nil if no opening packet is sent twice. hedgesCheckedAt is the time of the last
	// check for openings that are due.
	hedger          *hedge.Hedger
	hedgesCheckedAt time.Duration
}

// holder is the cached holder of a flow.
type holder struct {
	agent passthrough.Endpoint
	// ack is a recent acknowledgement number of the caller, needed for a reset.
	ack uint32
	// confirmed is true if the agent has reported that it holds the flow. Otherwise it
	// was only sent the opening packet, a duplicate of which may have opened the flow at
	// another agent.
	confirmed bool
}

// maxAckLag is how far the cached acknowledgement number may lag behind, in bytes.
// Callers accept a reset within twice that distance.
const maxAckLag = 32 << 10

// entry is a server with the number of flows that this balancer has sent to it
// since its last report.
type entry struct {
	Server
	openedSinceReport float64
	placements        placements
	// load is the load of the service, openPerSlot the mean number of open requests per slot,
	// perSlot the inverse of the number of slots and fading the loss of weight of the report per
	// nanosecond. They are computed for each report and valid while the server is a candidate.
	load *serviceLoad
	// roundTripTime is that to the failure domain of the server.
	roundTripTime                *roundTripTime
	openPerSlot, perSlot, fading float64
	// requestedAt is the time of the last request for a report.
	requestedAt time.Duration
	// group and position are the place in the candidates of the service; position is
	// -1 for a server that may not receive new flows.
	group, position int
}

// New returns a Router without routes and servers.
func New(options Options) *Router {
	r := &Router{
		options:    options,
		byAgent:    map[passthrough.Endpoint]*entry{},
		services:   map[string]*candidates{},
		loads:      map[string]*serviceLoad{},
		roundTrips: map[string]*roundTripTime{},
		draws:      map[string]*draw{},
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		owners:     &passthrough.Owners{},
		holders:    passthrough.NewExpiringMap[holder](holderRetention, maxHolders),
		lookups:    passthrough.NewExpiringMap[uint8](lookupRetention, maxHolders),
		hedger:     hedge.New(options.HedgeLimit),
	}
	r.ownRoundTrip = r.roundTripTo(options.Domain)
	return r
}

// SetVersion makes a configuration version active.
func (r *Router) SetVersion(v *routes.Version) {
	r.version = v
	for _, e := range r.byAgent {
		r.updateCandidate(e)
	}
}

// SetServer adds a server or updates it. If its agent is now presumed to have failed,
// the flows of the server are reset.
func (r *Router) SetServer(server Server) {
	e := r.byAgent[server.Agent]
	if e == nil {
		e = &entry{position: -1}
		r.byAgent[server.Agent] = e
	}
	if e.Flows != server.Flows || e.MeanOpenRequests != server.MeanOpenRequests {
		e.openedSinceReport = 0
	}
	r.update(e, server)
}

// update replaces the description of a server. Nothing else writes it: the candidates are
// listed and the owners of registrations selected by its fields, which any report may change.
func (r *Router) update(e *entry, server Server) {
	before := e.Server
	r.removeCandidate(e)
	e.Server = server
	if server.ReportedAt > before.ReportedAt {
		e.placements.reported(server.ReportedAt)
	}
	r.updateCandidate(e)
	switch {
	case server.TimedOut && !before.TimedOut:
		r.owners.Remove(server.Agent)
		r.resetFlows(server.Agent)
	case !server.TimedOut && (before.TimedOut || before.Name != server.Name):
		r.owners.Add(server.Name, server.Agent)
	}
}

// RemoveServer removes the server of an agent.
func (r *Router) RemoveServer(agent passthrough.Endpoint) {
	if e := r.byAgent[agent]; e != nil {
		r.removeCandidate(e)
		delete(r.byAgent, agent)
		r.owners.Remove(agent)
	}
}

// UpdateLoad applies a report with the current load of a server. It ignores agents that were
// not passed to SetServer.
func (r *Router) UpdateLoad(report Server) {
	if e := r.byAgent[report.Agent]; e != nil {
		r.measureRoundTrip(e, report.ReportedAt)
		r.update(e, report)
		e.openedSinceReport = 0
	}
}

// SetHolder caches the holder of a flow, as reported by the holder itself.
func (r *Router) SetHolder(agent passthrough.Endpoint, flow passthrough.Flow) {
	h, _ := r.holders.Get(flow)
	h.agent, h.confirmed = agent, true
	r.holders.Put(flow, h)
	r.settleHedge(flow, agent)
}

// SetCandidate caches the agent to which an opening packet was forwarded, unless the
// holder of the flow has reported itself.
func (r *Router) SetCandidate(agent passthrough.Endpoint, flow passthrough.Flow) {
	if h, _ := r.holders.Get(flow); !h.confirmed {
		h.agent = agent
		r.holders.Put(flow, h)
	}
	if r.hedger != nil {
		r.hedger.Moved(flow, agent)
	}
}

// Ready reports whether the balancer has a configuration and a reachable agent.
func (r *Router) Ready() bool {
	if r.version == nil {
		return false
	}
	for _, e := range r.byAgent {
		if e.Reachable {
			return true
		}
	}
	return false
}

// Counters returns the current counters.
func (r *Router) Counters() Counters {
	counters := r.counters
	counters.Counters = r.hedger.Counters()
	return counters
}

// CachedFlows returns the number of flows whose holder is cached.
func (r *Router) CachedFlows() int { return r.holders.Len() }

// Tick expires cache entries and keeps the reports of drawn servers fresh.
func (r *Router) Tick(now time.Duration) {
	r.refreshDraws(now)
	r.checkHedges(now)
	r.holders.Tick(now)
	r.lookups.Tick(now)
}
