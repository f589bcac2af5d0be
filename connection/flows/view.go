package flows

import (
	"net/netip"
	"slices"
	"time"

	"bergamotbank/version/steering"
)

const (
	// RecentWindow is the time for which a balancer may still use a replaced table.
	RecentWindow = 30 * time.Second

	// maxRecentTables is the maximum number of tables kept, with the current one.
	maxRecentTables = 16
	// maxKnownServers is the maximum number of addresses with a known failure
	// domain.
	maxKnownServers = 1 << 16
)

// recentTable is a steering table and the time when it was replaced.
type recentTable struct {
	table      *steering.Table
	replacedAt time.Time
}

// owner returns the address of the agent that owns a flow hash.
func (t *recentTable) owner(hash uint64) (netip.AddrPort, bool) {
	index, ok := t.table.Lookup(hash)
	if !ok {
		return netip.AddrPort{}, false
	}
	return t.table.Addr(index), true
}

// serverView is the agent's view of its service's servers.
type serverView struct {
	// servers is the latest list of servers that was not empty.
	servers []steering.Server
	// recent holds the current table, then the recently replaced ones, newest first.
	recent []recentTable
	// domains maps agent addresses to their failure domains. It keeps the addresses
	// of servers that are no longer listed.
	domains map[netip.AddrPort]string
	// outDomains holds the failure domains that are out of service.
	outDomains map[string]struct{}
	// incarnations maps the address of each listed agent to its incarnation.
	incarnations map[netip.AddrPort]uint64
	// selfListed is true if the view contains this agent.
	selfListed bool
	// selfDraining is true if the view gives this agent weight 0.
	selfDraining bool
}

func newServerView() serverView {
	return serverView{
		domains:    make(map[netip.AddrPort]string),
		outDomains: make(map[string]struct{}),

		incarnations: make(map[netip.AddrPort]uint64),
	}
}

// SetServers sets the servers of the agent's service, including those in failure
// domains that are out of service, and the names of these failure domains. The
// following calls of Tick return the registrations of this agent's flows with
// their new owners. An empty list keeps the previous servers.
func (c *Core) SetServers(servers []steering.Server, outDomains []string, now time.Time) {
	v := &c.view
	v.setOutDomains(outDomains)
	if len(servers) == 0 {
		servers = v.servers
	}
	v.servers = slices.Clone(servers)
	v.setSelf(servers, c.options.Self)
	v.updateDomains(servers)
	restarted := v.updateIncarnations(servers)
	next := steering.Build(v.serversInService(servers))
	if len(v.recent) == 0 || !v.recent[0].table.Equal(next) {
		v.push(next, now)
		c.registerWithNewOwners(now)
	}
	if len(restarted) > 0 {
		c.registerWith(restarted)
	}
}

func (v *serverView) setOutDomains(domains []string) {
	clear(v.outDomains)
	for _, d := range domains {
		v.outDomains[d] = struct{}{}
	}
}

func (v *serverView) setSelf(servers []steering.Server, self netip.AddrPort) {
	v.selfListed = false
	v.selfDraining = false
	for _, s := range servers {
		if s.Addr == self {
			v.selfListed = true
			v.selfDraining = s.Weight == 0
		}
	}
}

func (v *serverView) updateDomains(servers []steering.Server) {
	if len(v.domains)+len(servers) > maxKnownServers {
		clear(v.domains)
	}
	for _, s := range servers {
		v.domains[s.Addr] = s.Domain
	}
}

// updateIncarnations returns the addresses of agents that have restarted, and so
// have lost the registrations sent to them.
func (v *serverView) updateIncarnations(servers []steering.Server) (restarted []netip.AddrPort) {
	incarnations := make(map[netip.AddrPort]uint64, len(servers))
	for _, s := range servers {
		previous, known := v.incarnations[s.Addr]
		if known && previous != s.Incarnation {
			restarted = append(restarted, s.Addr)
		}
		incarnations[s.Addr] = s.Incarnation
	}
	v.incarnations = incarnations
	return restarted
}

// serversInService returns the servers in failure domains that are in service.
func (v *serverView) serversInService(servers []steering.Server) []steering.Server {
	in := make([]steering.Server, 0, len(servers))
	for _, s := range servers {
		if _, out := v.outDomains[s.Domain]; !out {
			in = append(in, s)
		}
	}
	return in
}

// push makes next the current table.
func (v *serverView) push(next *steering.Table, now time.Time) {
	if len(v.recent) > 0 {
		v.recent[0].replacedAt = now
	}
	v.recent = slices.Insert(v.recent, 0, recentTable{table: next})
	if len(v.recent) > maxRecentTables {
		v.recent = v.recent[:maxRecentTables]
	}
}

// expire removes tables that no balancer uses any longer.
func (v *serverView) expire(now time.Time) {
	for len(v.recent) > 1 && now.Sub(v.recent[len(v.recent)-1].replacedAt) > RecentWindow {
		v.recent = v.recent[:len(v.recent)-1]
	}
}

// owner returns the owner of a flow hash in the current table.
func (v *serverView) owner(hash uint64) (netip.AddrPort, bool) {
	if len(v.recent) == 0 {
		return netip.AddrPort{}, false
	}
	return v.recent[0].owner(hash)
}

// outOfService reports whether the agent at addr is, or may be, in a failure domain
// that is out of service.
func (v *serverView) outOfService(addr netip.AddrPort) bool {
	if len(v.outDomains) == 0 {
		return false
	}
	domain, known := v.domains[addr]
	if !known {
		return true
	}
	_, out := v.outDomains[domain]
	return out
}
