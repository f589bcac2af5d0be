package roster

import (
	"time"

	"bergamotbank/connection/passthrough"
)

const (
	// freshIntervals is the number of missed intervals after which a member counts
	// as unreachable, freshSlack what a heartbeat may be late.
	freshIntervals = 3
	freshSlack     = 150 * time.Millisecond
	// overdueSlack is how late a heartbeat may be before the member is asked for one,
	// askInterval the pause between questions, maxAsked the number of them. In a large
	// deployment heartbeats are seconds apart; questions tell sooner.
	overdueSlack = 200 * time.Millisecond
	askInterval  = 150 * time.Millisecond
	maxAsked     = 4
	// unreachableAsked is the number of questions without an answer after which a
	// member counts as unreachable.
	unreachableAsked = 3
	// silentAgentAfter is the silence after which an agent counts as lost when it has
	// also left maxAsked questions without an answer: flows of its server are then
	// ended. silentAfter is that of balancers, for which nothing waits.
	silentAgentAfter = 1800 * time.Millisecond
	silentAfter      = 6 * time.Second
	// stallThreshold is the gap between two ticks that shows that this process
	// itself stood still.
	stallThreshold = 500 * time.Millisecond
)

// contact is an address with what was heard from it.
type contact struct {
	member   Member
	known    bool
	heardAt  time.Duration
	hearsUs  bool
	interval time.Duration
	tries    int
	// sent counts the heartbeats to the member.
	sent uint
	// asked counts the questions since the member was heard, askedAt is the last one.
	asked   int
	askedAt time.Duration
	// named is the role that whoever named the address gave, until it answers.
	named Role
	// last judgement, to notice changes.
	reachable, silent bool
}

// overdue tells whether a question for a heartbeat is due.
func (c *contact) overdue(now time.Duration) bool {
	return c.known && c.asked < maxAsked && now-c.heardAt > c.interval+overdueSlack && now-c.askedAt >= askInterval
}

// ask asks a member for a heartbeat.
func (r *Roster) ask(peer passthrough.Endpoint, c *contact, now time.Duration) {
	c.asked++
	c.askedAt = now
	r.send(peer, c, r.options.Self(), now, true)
}

// excuseStall forgives the silence of members while this process stood still.
func (r *Roster) excuseStall(now time.Duration) {
	if gap := now - r.ticked; r.ticked > 0 && gap > stallThreshold {
		r.stalls++
		for _, c := range r.contacts {
			c.heardAt += gap
			c.asked = 0
		}
	}
	r.ticked = now
}

func (r *Roster) forgettable(c *contact, now time.Duration) bool {
	if c.known {
		return now-c.heardAt > forgetAfter
	}
	return c.tries <= 0
}

func (c *contact) freshFor() time.Duration { return freshIntervals*c.interval + freshSlack }

// judge decides whether a member is reachable and tells whether that changed.
func (r *Roster) judge(c *contact, now time.Duration) bool {
	silence := now - c.heardAt
	reachable := c.known && c.hearsUs && silence < c.freshFor() && c.unanswered(now) < unreachableAsked
	silent := c.known && silence > c.patience() && c.unanswered(now) >= maxAsked
	if reachable == c.reachable && silent == c.silent {
		return false
	}
	switch {
	case reachable && !c.reachable:
		r.tell(c, "reachable", now)
	case silent && !c.silent:
		r.tell(c, "silent", now)
	case !reachable && c.reachable:
		r.tell(c, "unreachable", now)
	}
	c.reachable, c.silent = reachable, silent
	return true
}

// patience returns the silence after which a member may count as lost.
func (c *contact) patience() time.Duration {
	if c.member.Role == Agent {
		return silentAgentAfter
	}
	return silentAfter
}

// unanswered returns the number of questions that had time to be answered.
func (c *contact) unanswered(now time.Duration) int {
	if c.asked > 0 && now-c.askedAt < askInterval {
		return c.asked - 1
	}
	return c.asked
}

func (r *Roster) tell(c *contact, change string, now time.Duration) {
	if r.options.OnMemberChange != nil {
		r.options.OnMemberChange(c.member, change, now-c.heardAt)
	}
}

func (c *contact) status() Status {
	return Status{Member: c.member, HeardAt: c.heardAt, Reachable: c.reachable, Silent: c.silent}
}
