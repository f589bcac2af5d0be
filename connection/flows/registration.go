package flows

import (
	"net/netip"
	"slices"
	"time"

	"bergamotbank/connection/encap"
)

const (
	// RefreshInterval is the time after which a flow is registered again.
	RefreshInterval = 20 * time.Second
	// RegistrationLifetime is the time for which a registration counts.
	RegistrationLifetime = 65 * time.Second
	// refreshSpread is the part of RefreshInterval over which flows are spread.
	refreshSpread = RefreshInterval / 4
	spreadSteps   = 1024
	// learnInterval is the least time between two registrations of a flow that
	// its packets ask for.
	learnInterval = time.Second
)

// registration tells which agent holds a flow.
type registration struct {
	holder  netip.AddrPort
	expires time.Time
}

// registrations are the flows that other agents hold and that packets may
// reach here.
type registrations struct {
	entries map[uint64]registration
}

func newRegistrations() registrations {
	return registrations{entries: make(map[uint64]registration)}
}

func (r *registrations) holder(hash uint64, now time.Time) (netip.AddrPort, bool) {
	e, ok := r.entries[hash]
	if !ok || now.After(e.expires) {
		return netip.AddrPort{}, false
	}
	return e.holder, true
}

func (r *registrations) expire(now time.Time) {
	for hash, e := range r.entries {
		if now.After(e.expires) {
			delete(r.entries, hash)
		}
	}
}

// Registered takes the news that the agent at holder holds the flows. It
// returns how many were refused because the bound is reached or the holder's
// failure domain is out.
func (c *Core) Registered(holder netip.AddrPort, hashes []uint64, now time.Time) (refused int) {
	if c.suspended || holder == c.options.Self || c.tables.blocked(holder) {
		return len(hashes)
	}
	entries := c.registrations.entries
	for _, hash := range hashes {
		if _, known := entries[hash]; !known && len(entries) >= MaxRegistrations {
			refused++
			continue
		}
		entries[hash] = registration{holder: holder, expires: now.Add(RegistrationLifetime)}
	}
	return refused
}

// Released takes the news that the agent at holder holds the flows no more.
func (c *Core) Released(holder netip.AddrPort, hashes []uint64) {
	for _, hash := range hashes {
		if c.registrations.entries[hash].holder == holder {
			delete(c.registrations.entries, hash)
		}
	}
}

// register announces a flow to every other agent that may own its hash at some
// balancer.
func (c *Core) register(f *flow, now time.Time) {
	f.refreshAt = nextRefresh(f.hash, now)
	if c.options.DisableRegistration {
		return
	}
	for _, to := range c.flowTargets(f) {
		f.registered = true
		c.outbox.add(to, encap.KindRegistration, f.hash)
	}
}

// learnOwner registers a flow with the owner that the balancer named when the
// packet shows that this owner does not know of the flow. So a flow outlives
// changes that the own view has not heard of.
func (c *Core) learnOwner(f *flow, h *encap.Header, now time.Time) {
	if c.options.DisableRegistration || h.Kind != encap.KindPacket || h.Len() == 0 {
		return
	}
	owner := h.Address(0)
	if !c.isTarget(owner) || now.Sub(f.learnedAt) < learnInterval {
		return
	}
	f.learned = owner
	f.learnedAt = now
	f.registered = true
	c.outbox.add(owner, encap.KindRegistration, f.hash)
}

// registerMoved announces the flows whose owner the newest table changed.
func (c *Core) registerMoved(now time.Time) {
	if c.options.DisableRegistration {
		return
	}
	for _, f := range c.flows {
		if f.phase != established {
			continue
		}
		to, ok := c.tables.movedTo(f.hash)
		if !ok || !c.isTarget(to) {
			continue
		}
		f.registered = true
		f.refreshAt = nextRefresh(f.hash, now)
		c.outbox.add(to, encap.KindRegistration, f.hash)
	}
}

// registerAt announces the flows that the agents at the addresses should know.
func (c *Core) registerAt(addrs []netip.AddrPort) {
	if c.options.DisableRegistration {
		return
	}
	for _, f := range c.flows {
		if f.phase != established {
			continue
		}
		for _, to := range c.targets(f.hash) {
			if slices.Contains(addrs, to) {
				f.registered = true
				c.outbox.add(to, encap.KindRegistration, f.hash)
			}
		}
	}
}

// movedTo returns the owner under the current table when the one before had
// another owner.
func (t *tables) movedTo(hash uint64) (netip.AddrPort, bool) {
	to, ok := t.owner(hash)
	if !ok || len(t.recent) == 1 {
		return to, ok
	}
	from, had := t.recent[1].owner(hash)
	return to, !had || from != to
}

// targets returns the distinct other owners of a hash under recent tables.
func (c *Core) targets(hash uint64) []netip.AddrPort {
	var list []netip.AddrPort
	for i := range c.tables.recent {
		owner, ok := c.tables.recent[i].owner(hash)
		if ok && c.isTarget(owner) && !slices.Contains(list, owner) {
			list = append(list, owner)
		}
	}
	return list
}

// flowTargets returns all agents to register the flow with.
func (c *Core) flowTargets(f *flow) []netip.AddrPort {
	list := c.targets(f.hash)
	if f.learned.IsValid() && c.isTarget(f.learned) && !slices.Contains(list, f.learned) {
		list = append(list, f.learned)
	}
	return list
}

func (c *Core) isTarget(addr netip.AddrPort) bool {
	return addr != c.options.Self && !c.tables.blocked(addr)
}

// release tells the agents that know of a flow that it has ended.
func (c *Core) release(f *flow) {
	if !f.registered {
		return
	}
	for _, to := range c.flowTargets(f) {
		c.outbox.add(to, encap.KindRelease, f.hash)
	}
}

func (c *Core) releaseHash(hash uint64) {
	for _, to := range c.targets(hash) {
		c.outbox.add(to, encap.KindRelease, hash)
	}
}

// nextRefresh spreads the flows over time by their hash.
func nextRefresh(hash uint64, now time.Time) time.Time {
	early := refreshSpread * time.Duration(hash%spreadSteps) / spreadSteps
	return now.Add(RefreshInterval - early)
}
