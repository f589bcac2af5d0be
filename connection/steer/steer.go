// Package steer decides at a balancer where a caller's packet goes: the packets
// of a flow to the agent that holds it, an opening packet to the agent of a
// backend server of the right service. What a balancer remembers of flows is a
// cache; the agents hold the truth.
package steer

import (
	"math/rand/v2"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
	"bergamotbank/version/steering"
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
	// Work is the mean number of open requests.
	Work float64
	// Flows is the number of open flows.
	Flows int
	// HeardAt is when the agent reported.
	HeardAt time.Duration
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

// Steer decides for the packets of one balancer. It is not safe for concurrent
// use.
type Steer struct {
	options  Options
	version  *routes.Version
	servers  []*entry
	byAgent  map[passthrough.Endpoint]*entry
	services map[string][]*entry
	owners   *steering.Table
	holders  *passthrough.Generations[holding]
	lookups  *passthrough.Generations[uint8]
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
func New(options Options) *Steer {
	return &Steer{
		options: options,
		byAgent: map[passthrough.Endpoint]*entry{},
		owners:  steering.Build(nil),
		holders: passthrough.NewGenerations[holding](holderPeriod, maxHolders),
		lookups: passthrough.NewGenerations[uint8](lookupPeriod, maxHolders),
	}
}

// SetVersion puts a configuration version in force.
func (s *Steer) SetVersion(v *routes.Version) { s.version = v }

// SetServers replaces the view of the backend servers.
func (s *Steer) SetServers(servers []Server) {
	former := s.byAgent
	s.byAgent = make(map[passthrough.Endpoint]*entry, len(servers))
	s.services = map[string][]*entry{}
	s.servers = s.servers[:0]
	owners := make([]steering.Server, 0, len(servers))
	for i := range servers {
		e := &entry{Server: servers[i]}
		if before := former[e.Agent]; before != nil && before.Flows == e.Flows && before.Work == e.Work {
			e.opened = before.opened
		}
		if before := former[e.Agent]; e.Silent && before != nil && !before.Silent {
			s.abandon(e.Agent)
		}
		s.byAgent[e.Agent] = e
		s.servers = append(s.servers, e)
		s.services[e.Service] = append(s.services[e.Service], e)
		if !e.Silent {
			owners = append(owners, steering.Server{Name: e.Name, Addr: e.Agent.AddrPort(), Weight: steering.FullWeight})
		}
	}
	s.owners = steering.Build(owners)
}

// Report takes over what an agent says of its server since SetServers.
func (s *Steer) Report(report Server) {
	if e := s.byAgent[report.Agent]; e != nil {
		e.Server = report
		e.opened = 0
	}
}

// Learn remembers the holder of a flow.
func (s *Steer) Learn(agent passthrough.Endpoint, flow passthrough.Flow) {
	h, _ := s.holders.Get(flow)
	h.agent = agent
	s.holders.Put(flow, h)
}

// Ready tells whether the balancer can place flows.
func (s *Steer) Ready() bool {
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
func (s *Steer) Counters() Counters { return s.counters }

// Flows returns the number of flows whose holder is cached.
func (s *Steer) Flows() int { return s.holders.Len() }

// Tick ages the cache.
func (s *Steer) Tick(now time.Duration) {
	s.holders.Tick(now)
	s.lookups.Tick(now)
}

// Packet takes a packet of a caller, in a buffer with FrameSize free bytes in
// front of it.
func (s *Steer) Packet(buffer []byte) {
	s.counters.Packets++
	segment := &s.segment
	if err := s.options.Format.Decode(buffer[passthrough.FrameSize:], segment); err != nil {
		s.counters.Malformed++
		return
	}
	if s.version == nil {
		s.counters.Dropped++
		return
	}
	if segment.IsOpening() {
		s.open(buffer, segment)
		return
	}
	if segment.Has(passthrough.Open) {
		s.counters.Malformed++
		return
	}
	if segment.Has(passthrough.Reset) {
		s.end(buffer, segment)
		return
	}
	s.follow(buffer, segment)
}

// open places an opening packet. A copy goes where the first one went as long as
// that agent can be reached.
func (s *Steer) open(buffer []byte, segment *passthrough.Segment) {
	flow := segment.FromCaller()
	route := s.version.Route(flow.Service.AddrPort())
	if route == nil {
		s.counters.NoRoute++
		s.reset(flow, segment.Ack, errkind.NotFound)
		return
	}
	if h, ok := s.holders.Get(flow); ok {
		if e := s.byAgent[h.agent]; e != nil && e.Reachable {
			s.send(buffer, passthrough.Deliver, h.agent, s.second(e))
			return
		}
	}
	service := route.Pick(flow.Hash())
	chosen := s.choose(service, nil)
	if chosen == nil {
		s.counters.NoServer++
		if segment.LastCopy() {
			s.reset(flow, segment.Ack, errkind.BackendUnavailable)
		}
		// Else the next copy may find a server that has come back.
		return
	}
	s.counters.Opens++
	chosen.opened++
	s.holders.Put(flow, holding{agent: chosen.Agent})
	if s.options.OnPlacement != nil {
		s.options.OnPlacement(flow, &chosen.Server)
	}
	s.send(buffer, passthrough.Deliver, chosen.Agent, s.second(chosen))
}

// second returns the agent that an agent which refuses a flow passes it to.
func (s *Steer) second(first *entry) passthrough.Endpoint {
	if e := s.choose(first.Service, first); e != nil {
		return e.Agent
	}
	return 0
}

// follow sends a packet of an open flow to its holder, or to the owner of the
// flow's registration when the holder is not cached.
func (s *Steer) follow(buffer []byte, segment *passthrough.Segment) {
	flow := segment.FromCaller()
	h, ok := s.holders.Get(flow)
	e := s.byAgent[h.agent]
	lost := e != nil && e.Silent
	// Where only an opening packet was sent, a copy of it may have opened the flow
	// elsewhere.
	if ok && (h.opened || !lost) {
		if lost {
			s.counters.HolderLost++
			s.reset(flow, segment.Ack, errkind.PeerUnavailable)
			s.holders.Delete(flow)
			return
		}
		if !h.opened || segment.Ack-h.ack > ackDrift {
			s.holders.Put(flow, holding{agent: h.agent, ack: segment.Ack, opened: true})
		}
		s.counters.Known++
		s.send(buffer, passthrough.Deliver, h.agent, 0)
		return
	}
	s.counters.Unknown++
	if owner := s.owner(flow); owner != 0 {
		if s.options.OnLookup != nil {
			s.options.OnLookup(flow, owner)
		}
		s.send(buffer, passthrough.Lookup, owner, 0)
	}
}

// owner returns the agent to ask for the holder of a flow: the two owners of its
// registration in turn, since one may have just died, and only those that can be
// reached when there are such.
func (s *Steer) owner(flow passthrough.Flow) passthrough.Endpoint {
	a, b, ok := s.owners.Pair(flow.Hash())
	if !ok {
		return 0
	}
	first, second := passthrough.EndpointOf(s.owners.Addr(a)), passthrough.EndpointOf(s.owners.Addr(b))
	asked, _ := s.lookups.Get(flow)
	s.lookups.Put(flow, asked+1)
	if asked%2 == 1 {
		first, second = second, first
	}
	if !s.byAgent[first].Reachable && s.byAgent[second].Reachable {
		return second
	}
	return first
}

// end passes on the reset of a flow by its caller.
func (s *Steer) end(buffer []byte, segment *passthrough.Segment) {
	flow := segment.FromCaller()
	h, ok := s.holders.Get(flow)
	if !ok {
		s.counters.Dropped++
		return
	}
	s.holders.Delete(flow)
	s.send(buffer, passthrough.Deliver, h.agent, 0)
}

// abandon resets the flows of an agent that is taken for lost, so that callers
// can open others before they need them.
func (s *Steer) abandon(agent passthrough.Endpoint) {
	for flow, h := range s.holders.All() {
		if h.agent != agent || !h.opened {
			continue
		}
		s.counters.HolderLost++
		s.reset(flow, h.ack, errkind.PeerUnavailable)
		s.holders.Delete(flow)
	}
}

func (s *Steer) send(buffer []byte, kind passthrough.Kind, to, alternate passthrough.Endpoint) {
	frame := passthrough.Frame{
		Kind:      kind,
		Version:   s.version.Revision,
		Origin:    s.options.Self,
		Alternate: alternate,
	}
	frame.Put(buffer)
	s.options.Sender.Send(buffer, to)
}

// reset tells the caller that the flow cannot go on.
func (s *Steer) reset(flow passthrough.Flow, ack uint32, kind errkind.Kind) {
	if s.options.OnRefusal != nil {
		s.options.OnRefusal(flow, kind)
	}
	b := s.options.Format.AppendReset(nil, flow, ack)
	s.options.Sender.Send(b, flow.Caller.WithPort(s.options.CallerPort))
}

// random returns a number below n, which must be above 0.
func random(n int) int { return rand.IntN(n) }
