// Package steer decides at a balancer where a caller's packet goes: the packets
// of a flow to the agent that holds it, an opening packet to the agent of a
// backend server of the right service. What a balancer remembers of flows is a
// cache; the agents hold the truth.
package steer

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

const (
	// holderPeriod is how long the holder of an unused flow stays in the cache, at
	// least; longer than the usual idle time-out of 15 s.
	holderPeriod = 30 * time.Second
	// lookupPeriod is how long the number of questions for a flow is kept; callers
	// send again for a second or two.
	lookupPeriod = 3 * time.Second
	// maxHolders bounds one generation of the cache, about 4 MB.
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
	// Cold takes few new flows.
	Cold
	// Draining keeps its flows and takes no new ones.
	Draining
	// Down does not answer.
	Down
	// Failing reports to be ready and fails part of its requests.
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

// Server is a backend server with its agent, as the balancer last heard of it.
type Server struct {
	// Name is the name of the agent.
	Name string
	// Agent is the peer address of the agent.
	Agent passthrough.Endpoint
	// Service and Domain tell whom the server serves and where.
	Service, Domain string
	// State is the state of the server.
	State State
	// Slots is the number of requests that the server works on at once.
	Slots int
	// MeanOpenRequests is the mean number of open requests.
	MeanOpenRequests float64
	// Flows is the number of open flows.
	Flows int
	// ReportedAt is when the agent reported.
	ReportedAt time.Duration
	// Reachable tells whether the agent is heard and hears this balancer.
	Reachable bool
	// Silent tells that the agent has not been heard for so long that its
	// backend server is taken for lost.
	Silent bool
}

// Counters count packets by outcome.
type Counters struct {
	// Packets are all packets read; Malformed those that could not be parsed.
	Packets, Malformed uint64
	// Opens are opening packets that were placed, Known and Unknown the packets of
	// flows whose holder was cached or not.
	Opens, Known, Unknown uint64
	// NoRoute, NoServer and HolderLost count resets by reason.
	NoRoute, NoServer, HolderLost uint64
	// Dropped are packets for which no decision was possible.
	Dropped uint64
}

// Options configure a Steer.
type Options struct {
	// Format is the packet format of callers.
	Format passthrough.Format
	// Domain is the failure domain of the balancer.
	Domain string
	// Self is the peer address of the balancer.
	Self passthrough.Endpoint
	// CallerPort is the UDP port at which callers take packets.
	CallerPort uint16
	// Sender takes datagrams to agents and callers.
	Sender passthrough.Sender
	// OnRefusal is called for each refused packet; nil for none.
	OnRefusal func(flow passthrough.Flow, kind errkind.Kind)
	// OnLookup is called for each packet of a flow whose holder is not cached, with
	// the agent that is asked; nil for none.
	OnLookup func(flow passthrough.Flow, owner passthrough.Endpoint)
	// OnPlacement is called for each first copy of an opening packet that was
	// placed; nil for none.
	OnPlacement func(flow passthrough.Flow, server *Server)
}

// Router decides for the packets of one balancer. It is not safe for concurrent
// use.
type Router struct {
	options  Options
	version  *routes.Version
	servers  []*entry
	byAgent  map[passthrough.Endpoint]*entry
	services map[string][]*entry
	owners   *passthrough.Owners
	holders  *passthrough.ExpiringMap[holding]
	lookups  *passthrough.ExpiringMap[uint8]
	segment  passthrough.Segment
	counters Counters
}

// holding is what the balancer remembers of a flow.
type holding struct {
	agent passthrough.Endpoint
	// ack is a recent acknowledgement number of the caller, which a reset needs.
	ack uint32
	// opened tells that the flow went on after its opening packet.
	opened bool
}

// ackDrift is how far the remembered acknowledgement number may lag behind, in
// bytes: callers accept a reset within twice as much.
const ackDrift = 32 << 10

// entry is a server with what this balancer sent it since its last report.
type entry struct {
	Server
	opened float64
}

// New returns a Steer that knows neither routes nor servers yet.
func New(options Options) *Router {
	return &Router{
		options: options,
		byAgent: map[passthrough.Endpoint]*entry{},
		owners:  passthrough.NewOwners(nil),
		holders: passthrough.NewExpiringMap[holding](holderPeriod, maxHolders),
		lookups: passthrough.NewExpiringMap[uint8](lookupPeriod, maxHolders),
	}
}

// SetVersion puts a configuration version in force.
func (s *Router) SetVersion(v *routes.Version) { s.version = v }

// SetServers replaces the view of the backend servers.
func (s *Router) SetServers(servers []Server) {
	former := s.byAgent
	s.byAgent = make(map[passthrough.Endpoint]*entry, len(servers))
	s.services = map[string][]*entry{}
	s.servers = s.servers[:0]
	owners := make([]passthrough.Owner, 0, len(servers))
	for i := range servers {
		e := &entry{Server: servers[i]}
		if before := former[e.Agent]; before != nil && before.Flows == e.Flows && before.MeanOpenRequests == e.MeanOpenRequests {
			e.opened = before.opened
		}
		if before := former[e.Agent]; e.Silent && before != nil && !before.Silent {
			s.abandon(e.Agent)
		}
		s.byAgent[e.Agent] = e
		s.servers = append(s.servers, e)
		s.services[e.Service] = append(s.services[e.Service], e)
		if !e.Silent {
			owners = append(owners, passthrough.Owner{Name: e.Name, Peer: e.Agent})
		}
	}
	s.owners = passthrough.NewOwners(owners)
}

// UpdateServer takes over what an agent says of its server since SetServers.
func (s *Router) UpdateServer(report Server) {
	if e := s.byAgent[report.Agent]; e != nil {
		e.Server = report
		e.opened = 0
	}
}

// SetHolder remembers the holder of a flow.
func (s *Router) SetHolder(agent passthrough.Endpoint, flow passthrough.Flow) {
	h, _ := s.holders.Get(flow)
	h.agent = agent
	s.holders.Put(flow, h)
}

// Ready tells whether the balancer can place flows.
func (s *Router) Ready() bool {
	if s.version == nil {
		return false
	}
	for _, e := range s.servers {
		if e.Reachable {
			return true
		}
	}
	return false
}

// Counters returns the counts so far.
func (s *Router) Counters() Counters { return s.counters }

// CachedFlows returns the number of flows whose holder is cached.
func (s *Router) CachedFlows() int { return s.holders.Len() }

// Tick ages the cache.
func (s *Router) Tick(now time.Duration) {
	s.holders.Tick(now)
	s.lookups.Tick(now)
}
