package flows

import (
	"net/netip"
	"slices"
	"time"

	"bergamotbank/version/steering"
)

const (
	// RecentWindow is the time for which a replaced table counts as possibly
	// still in use at some balancer.
	RecentWindow = 30 * time.Second

	maxRecentTables = 16
	maxKnownServers = 1 << 16
)

// recentTable is a steering table and the time when it was replaced.
type recentTable struct {
	table    *steering.Table
	replaced time.Time
}

func (t *recentTable) owner(hash uint64) (netip.AddrPort, bool) {
	index, ok := t.table.Lookup(hash)
	if !ok {
		return netip.AddrPort{}, false
	}
	return t.table.Addr(index), true
}

// tables is what the agent knows of its service's servers.
type tables struct {
	// recent holds the current table first, then those replaced lately.
	recent []recentTable
	// domains is the failure domain of each agent address ever seen.
	domains map[netip.AddrPort]string
	out     map[string]struct{}
	// incarnations is the run of the agent at each address of the view.
	incarnations map[netip.AddrPort]uint64
	// selfListed tells that the view contains this agent.
	selfListed bool
	// selfDraining tells that the view gives this agent weight 0.
	selfDraining bool
}

func newTables() tables {
	return tables{
		domains: make(map[netip.AddrPort]string),
		out:     make(map[string]struct{}),

		incarnations: make(map[netip.AddrPort]uint64),
	}
}

// SetServers sets the servers of the agent's service, with those of failure
// domains that are out, and the names of these failure domains. Flows held here
// are registered with their new owners by the following calls of Tick.
func (c *Core) SetServers(servers []steering.Server, outDomains []string, now time.Time) {
	t := &c.tables
	t.setOut(outDomains)
	t.setSelf(servers, c.options.Self)
	t.learnDomains(servers)
	restarted := t.learnIncarnations(servers)
	next := steering.Build(t.withoutOut(servers))
	if len(t.recent) == 0 || !t.recent[0].table.Equal(next) {
		t.push(next, now)
		c.registerMoved(now)
	}
	if len(restarted) > 0 {
		c.registerAt(restarted)
	}
}

func (t *tables) setOut(domains []string) {
	clear(t.out)
	for _, d := range domains {
		t.out[d] = struct{}{}
	}
}

func (t *tables) setSelf(servers []steering.Server, self netip.AddrPort) {
	t.selfListed = false
	t.selfDraining = false
	for _, s := range servers {
		if s.Addr == self {
			t.selfListed = true
			t.selfDraining = s.Weight == 0
		}
	}
}

func (t *tables) learnDomains(servers []steering.Server) {
	if len(t.domains)+len(servers) > maxKnownServers {
		clear(t.domains)
	}
	for _, s := range servers {
		t.domains[s.Addr] = s.Domain
	}
}

// learnIncarnations returns the addresses whose agent has started anew, and so
// has forgotten what was registered with it.
func (t *tables) learnIncarnations(servers []steering.Server) (restarted []netip.AddrPort) {
	incarnations := make(map[netip.AddrPort]uint64, len(servers))
	for _, s := range servers {
		former, known := t.incarnations[s.Addr]
		if known && former != s.Incarnation {
			restarted = append(restarted, s.Addr)
		}
		incarnations[s.Addr] = s.Incarnation
	}
	t.incarnations = incarnations
	return restarted
}

func (t *tables) withoutOut(servers []steering.Server) []steering.Server {
	in := make([]steering.Server, 0, len(servers))
	for _, s := range servers {
		if _, out := t.out[s.Domain]; !out {
			in = append(in, s)
		}
	}
	return in
}

func (t *tables) push(next *steering.Table, now time.Time) {
	if len(t.recent) > 0 {
		t.recent[0].replaced = now
	}
	t.recent = slices.Insert(t.recent, 0, recentTable{table: next})
	if len(t.recent) > maxRecentTables {
		t.recent = t.recent[:maxRecentTables]
	}
}

// expire forgets tables that no balancer uses any more.
func (t *tables) expire(now time.Time) {
	for len(t.recent) > 1 && now.Sub(t.recent[len(t.recent)-1].replaced) > RecentWindow {
		t.recent = t.recent[:len(t.recent)-1]
	}
}

// owner returns the owner under the current table.
func (t *tables) owner(hash uint64) (netip.AddrPort, bool) {
	if len(t.recent) == 0 {
		return netip.AddrPort{}, false
	}
	return t.recent[0].owner(hash)
}

// blocked tells whether the agent at addr is, or may be, in a failure domain
// that is out.
func (t *tables) blocked(addr netip.AddrPort) bool {
	if len(t.out) == 0 {
		return false
	}
	domain, known := t.domains[addr]
	if !known {
		return true
	}
	_, out := t.out[domain]
	return out
}
