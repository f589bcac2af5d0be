package roster

import (
	"time"

	"bergamotbank/connection/passthrough"
)

const (
	// reachableIntervals is the number of missed intervals after which a member counts
	// as unreachable, freshSlack what a heartbeat may be late.
	reachableIntervals = 3
	reachableSlack     = 150 * time.Millisecond
	// probeDelay is how late a heartbeat may be before the member is asked for one,
	// askInterval the pause between questions, maxAsked the number of them. In a large
	// deployment heartbeats are seconds apart; questions tell sooner.
	probeDelay    = 200 * time.Millisecond
	probeInterval = 150 * time.Millisecond
	maxProbes     = 4
	// unreachableProbes is the number of questions without an answer after which a
	// member counts as unreachable.
	unreachableProbes = 3
	// silentAgentTimeout is the silence after which an agent counts as lost when it has
	// also left maxAsked questions without an answer: flows of its server are then
	// ended. silentAfter is that of balancers, for which nothing waits.
	silentAgentTimeout    = 1800 * time.Millisecond
	silentBalancerTimeout = 6 * time.Second
	// stallThreshold is the gap between two ticks that shows that this process
	// itself stood still.
	stallThreshold = 500 * time.Millisecond
)

// peerState is an address with what was heard from it.
type peerState struct {
	member       Member
	known        bool
	heardAt      time.Duration
	hearsUs      bool
	interval     time.Duration
	attemptsLeft int
	// sent counts the heartbeats to the member.
	sent uint
	// probes counts the questions since the member was heard, askedAt is the last one.
	probes    int
	lastProbe time.Duration
	// expectedRole is the role that whoever expectedRole the address gave, until it answers.
	expectedRole Role
	// last judgement, to notice changes.
	reachable, silent bool
}

// probeDue tells whether a question for a heartbeat is due.
func (c *peerState) probeDue(now time.Duration) bool {
	return c.known && c.probes < maxProbes && now-c.heardAt > c.interval+probeDelay && now-c.lastProbe >= probeInterval
}

// probe asks a member for a heartbeat.
func (r *Roster) probe(peer passthrough.Endpoint, c *peerState, now time.Duration) {
	c.probes++
	c.lastProbe = now
	r.send(peer, c, r.options.Self(), now, true)
}

// compensateStall forgives the silence of members while this process stood still.
func (r *Roster) compensateStall(now time.Duration) {
	if gap := now - r.lastTick; r.lastTick > 0 && gap > stallThreshold {
		r.stalls++
		for _, c := range r.peers {
			c.heardAt += gap
			c.probes = 0
		}
	}
	r.lastTick = now
}

func (r *Roster) expired(c *peerState, now time.Duration) bool {
	if c.known {
		return now-c.heardAt > removeAfter
	}
	return c.attemptsLeft <= 0
}

func (c *peerState) reachableTimeout() time.Duration {
	return reachableIntervals*c.interval + reachableSlack
}

// updateStatus decides whether a member is reachable and tells whether that changed.
func (r *Roster) updateStatus(c *peerState, now time.Duration) bool {
	silence := now - c.heardAt
	reachable := c.known && c.hearsUs && silence < c.reachableTimeout() && c.unansweredProbes(now) < unreachableProbes
	silent := c.known && silence > c.silentTimeout() && c.unansweredProbes(now) >= maxProbes
	if reachable == c.reachable && silent == c.silent {
		return false
	}
	switch {
	case reachable && !c.reachable:
		r.notifyMember(c, "reachable", now)
	case silent && !c.silent:
		r.notifyMember(c, "silent", now)
	case !reachable && c.reachable:
		r.notifyMember(c, "unreachable", now)
	}
	c.reachable, c.silent = reachable, silent
	return true
}

// silentTimeout returns the silence after which a member may count as lost.
func (c *peerState) silentTimeout() time.Duration {
	if c.member.Role == Agent {
		return silentAgentTimeout
	}
	return silentBalancerTimeout
}

// unansweredProbes returns the number of questions that had time to be answered.
func (c *peerState) unansweredProbes(now time.Duration) int {
	if c.probes > 0 && now-c.lastProbe < probeInterval {
		return c.probes - 1
	}
	return c.probes
}

func (r *Roster) notifyMember(c *peerState, change string, now time.Duration) {
	if r.options.OnMemberChange != nil {
		r.options.OnMemberChange(c.member, change, now-c.heardAt)
	}
}

func (c *peerState) status() Status {
	return Status{Member: c.member, HeardAt: c.heardAt, Reachable: c.reachable, Silent: c.silent}
}
