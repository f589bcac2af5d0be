package roster

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotbank/connection/passthrough"
)

const (
	// reportInterval is the shortest interval of agents' heartbeats to balancers:
	// a server that stops answering is passed over after three of them.
	reportInterval = 250 * time.Millisecond
	// greetInterval is the shortest interval of all other heartbeats.
	greetInterval = time.Second
	// reportSpacing and greetSpacing lengthen the intervals with the number of
	// agents, so that a balancer takes at most 100 reports a second.
	reportSpacing = 10 * time.Millisecond
	greetSpacing  = 20 * time.Millisecond
	// lonelyContacts is the number of known addresses below which a process asks to be
	// introduced; seeds are fewer. introducers is the number of members that introduce
	// the others to one that did not ask.
	lonelyContacts = 5
	introducers    = 4
	// wholeEvery is the number of heartbeats of which one tells everything, also what
	// the receiver should know already; wholeIntervals the number of intervals after a
	// change in which each does, since datagrams are lost.
	wholeEvery     = 8
	wholeIntervals = 3
)

// introduces tells whether this process is one of the few that introduce the others
// to a member even if it did not ask: what it read in the directory may be old. If all
// did, a restart of many would move the square of their number.
func (r *Roster) introduces(peer passthrough.Endpoint, self Member) bool {
	var ends [16]byte
	binary.LittleEndian.PutUint64(ends[:], uint64(peer))
	binary.LittleEndian.PutUint64(ends[8:], uint64(self.Peer))
	return xxhash.Sum64(ends[:])%uint64(len(r.contacts)+1) < introducers
}

// introduce tells a member that has just started of all others.
func (r *Roster) introduce(peer passthrough.Endpoint) {
	var peers []introduced
	for other, c := range r.contacts {
		if other != peer && c.known && !c.silent {
			peers = append(peers, introduced{other, c.member.Role})
		}
	}
	if len(peers) > 0 {
		r.options.Sender.Send(encodeIntroduction(peers), peer)
	}
}

// Announce sends a heartbeat to all members at once, after a change.
func (r *Roster) Announce(now time.Duration) {
	r.reportDue, r.greetDue = 0, 0
	r.greetAll(now)
}

// greetAll sends the heartbeats that are due.
func (r *Roster) greetAll(now time.Duration) {
	report, greet, contacts := now >= r.reportDue, now >= r.greetDue, now >= r.contactDue
	if !report && !greet && !contacts {
		return
	}
	self := r.options.Self()
	reportEvery, greetEvery := r.intervals()
	if report {
		r.reportDue = now + reportEvery
	}
	if greet {
		r.greetDue = now + greetEvery
	}
	if contacts {
		r.contactDue = now + contactInterval
	}
	if lasting := lastingOf(self); lasting != r.lasting {
		r.lasting, r.wholeUntil = lasting, now+wholeIntervals*greetEvery
	}
	for peer, c := range r.contacts {
		switch {
		case !c.known && contacts:
			c.tries--
			r.greet(peer, c, self, now)
		case c.known && reports(self, c) && report, c.known && !reports(self, c) && greet:
			r.greet(peer, c, self, now)
		}
	}
}

// reports tells whether heartbeats to a member carry the load of a server.
func reports(self Member, c *contact) bool {
	return self.Role == Agent && c.member.Role == Balancer
}

// intervals returns the intervals of reports and of other heartbeats.
func (r *Roster) intervals() (report, greet time.Duration) {
	agents := 0
	for _, c := range r.contacts {
		if c.known && c.member.Role == Agent {
			agents++
		}
	}
	return max(reportInterval, time.Duration(agents)*reportSpacing), max(greetInterval, time.Duration(agents)*greetSpacing)
}

func (r *Roster) greet(peer passthrough.Endpoint, c *contact, self Member, now time.Duration) {
	r.send(peer, c, self, now, false)
}

// send sends a heartbeat; asks tells that it wants one in return at once.
func (r *Roster) send(peer passthrough.Endpoint, c *contact, self Member, now time.Duration, asks bool) {
	report, greet := r.intervals()
	h := hello{Member: self, asks: asks, interval: greet, lonely: len(r.contacts) < lonelyContacts, heard: c.known && now-c.heardAt < c.freshFor()}
	if reports(self, c) {
		h.interval = report
	}
	c.sent++
	if c.hearsUs && now >= r.wholeUntil && c.sent%wholeEvery != 0 {
		b := beatOf(&h)
		r.options.Sender.Send(b.encode(), peer)
		return
	}
	r.options.Sender.Send(h.encode(), peer)
}
