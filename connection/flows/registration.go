package flows

import (
	"net/netip"
	"slices"
	"time"

	"bergamotbank/connection/encap"
)

const (
	// RefreshInterval is the interval at which a flow is registered again.
	RefreshInterval = 20 * time.Second
	// RegistrationLifetime is the time after which a registration expires.
	RegistrationLifetime = 65 * time.Second
	// refreshSpread is the part of RefreshInterval over which refreshes are spread.
	refreshSpread = RefreshInterval / 4
	// spreadSteps is the number of distinct refresh times within refreshSpread.
	spreadSteps = 1024
	// minLearnInterval is the minimum interval between two registrations of a flow
	// with owners that balancers named.
	minLearnInterval = time.Second
)

// registration is an agent's registration of a flow that it holds.
type registration struct {
	holder  netip.AddrPort
	expires time.Time
}

// registrations maps the hashes of flows that other agents hold, and whose packets
// may arrive at this agent, to their registrations.
type registrations struct {
	entries map[uint64]registration
}

func newRegistrations() registrations {
	return registrations{entries: make(map[uint64]registration)}
}

// lookup returns the holder of a flow that has a registration.
func (r *registrations) lookup(hash uint64, now time.Time) (netip.AddrPort, bool) {
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

// HandleRegistration stores registrations of flows that the agent at holder holds.
// It returns how many were refused: those beyond MaxRegistrations, or all if this
// agent is suspended or the holder is this agent or may be in a failure domain that
// is out of service.
func (c *Core) HandleRegistration(holder netip.AddrPort, hashes []uint64, now time.Time) (refused int) {
	if c.suspended || holder == c.options.Self || c.view.outOfService(holder) {
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

// HandleRelease removes registrations of flows that the agent at holder no longer
// holds.
func (c *Core) HandleRelease(holder netip.AddrPort, hashes []uint64) {
	for _, hash := range hashes {
		if c.registrations.entries[hash].holder == holder {
			delete(c.registrations.entries, hash)
		}
	}
}

// register registers a flow with every other agent that may own its hash in the
// table of some balancer.
func (c *Core) register(f *flow, now time.Time) {
	f.refreshAt = nextRefresh(f.hash, now)
	if c.options.DisableRegistration {
		return
	}
	for _, to := range c.flowRegistrationTargets(f) {
		f.registered = true
		c.outbox.add(to, encap.KindRegistration, f.hash)
	}
}

// learnOwner registers a flow with the owner that the balancer named if the kind
// of the packet shows that this owner has no registration of the flow. The flow
// thus survives changes that have not reached this agent's view.
func (c *Core) learnOwner(f *flow, h *encap.Header, now time.Time) {
	if c.options.DisableRegistration || h.Kind != encap.KindPacket || h.Len() == 0 {
		return
	}
	owner := h.Address(0)
	if !c.isAvailablePeer(owner) || now.Sub(f.learnedAt) < minLearnInterval {
		return
	}
	f.learnedOwner = owner
	f.learnedAt = now
	f.registered = true
	c.outbox.add(owner, encap.KindRegistration, f.hash)
}

// registerWithNewOwners registers the flows that have another owner in the current
// table than in the previous one.
func (c *Core) registerWithNewOwners(now time.Time) {
	if c.options.DisableRegistration {
		return
	}
	for _, f := range c.flows {
		if f.phase != established {
			continue
		}
		to, ok := c.view.newOwner(f.hash)
		if !ok || !c.isAvailablePeer(to) {
			continue
		}
		f.registered = true
		f.refreshAt = nextRefresh(f.hash, now)
		c.outbox.add(to, encap.KindRegistration, f.hash)
	}
}

// registerWith registers flows with those of their owners that are at the given
// addresses.
func (c *Core) registerWith(addrs []netip.AddrPort) {
	if c.options.DisableRegistration {
		return
	}
	for _, f := range c.flows {
		if f.phase != established {
			continue
		}
		for _, to := range c.registrationTargets(f.hash) {
			if slices.Contains(addrs, to) {
				f.registered = true
				c.outbox.add(to, encap.KindRegistration, f.hash)
			}
		}
	}
}

// newOwner returns the owner of a flow hash in the current table if the previous
// table had another owner.
func (v *serverView) newOwner(hash uint64) (netip.AddrPort, bool) {
	to, ok := v.owner(hash)
	if !ok || len(v.recent) == 1 {
		return to, ok
	}
	from, had := v.recent[1].owner(hash)
	return to, !had || from != to
}

// registrationTargets returns the distinct owners of a hash in the recent tables,
// without this agent and without agents out of service.
func (c *Core) registrationTargets(hash uint64) []netip.AddrPort {
	var list []netip.AddrPort
	for i := range c.view.recent {
		owner, ok := c.view.recent[i].owner(hash)
		if ok && c.isAvailablePeer(owner) && !slices.Contains(list, owner) {
			list = append(list, owner)
		}
	}
	return list
}

// flowRegistrationTargets returns the registration targets of a flow's hash and
// the owner learned from a balancer.
func (c *Core) flowRegistrationTargets(f *flow) []netip.AddrPort {
	list := c.registrationTargets(f.hash)
	if f.learnedOwner.IsValid() && c.isAvailablePeer(f.learnedOwner) && !slices.Contains(list, f.learnedOwner) {
		list = append(list, f.learnedOwner)
	}
	return list
}

// isAvailablePeer reports whether addr is the address of another agent, and one
// that is known to be in a failure domain in service if any domain is out.
func (c *Core) isAvailablePeer(addr netip.AddrPort) bool {
	return addr != c.options.Self && !c.view.outOfService(addr)
}

// release withdraws the registrations of a flow.
func (c *Core) release(f *flow) {
	if !f.registered {
		return
	}
	for _, to := range c.flowRegistrationTargets(f) {
		c.outbox.add(to, encap.KindRelease, f.hash)
	}
}

// releaseHash withdraws the registrations of a flow that is not in the flow table,
// in case an earlier release was lost.
func (c *Core) releaseHash(hash uint64) {
	for _, to := range c.registrationTargets(hash) {
		c.outbox.add(to, encap.KindRelease, hash)
	}
}

// nextRefresh returns the time of a flow's next refresh. It depends on the hash, so
// that the refreshes of many flows are spread over time.
func nextRefresh(hash uint64, now time.Time) time.Time {
	early := refreshSpread * time.Duration(hash%spreadSteps) / spreadSteps
	return now.Add(RefreshInterval - early)
}
