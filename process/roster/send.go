package roster

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotbank/connection/passthrough"
)

const (
	// minReportInterval is the shortest interval of agents' heartbeats to balancers:
	// a server that stops answering is passed over after three of them.
	minReportInterval = 250 * time.Millisecond
	// minHeartbeatInterval is the shortest interval of all other heartbeats.
	minHeartbeatInterval = time.Second
	// reportIntervalPerAgent and greetSpacing lengthen the intervals with the number of
	// agents, so that a balancer takes at most 100 reports a second.
	reportIntervalPerAgent    = 10 * time.Millisecond
	heartbeatIntervalPerAgent = 20 * time.Millisecond
	// introductionThreshold is the number of known addresses below which a process asks to be
	// introduced; seeds are fewer. introducers is the number of members that introduce
	// the others to one that did not ask.
	introductionThreshold = 5
	introducers           = 4
	// fullHeartbeatEvery is the number of heartbeats of which one tells everything, also what
	// the receiver should know already; wholeIntervals the number of intervals after a
	// change in which each does, since datagrams are lost.
	fullHeartbeatEvery     = 8
	fullHeartbeatIntervals = 3
)

// shouldIntroduce tells whether this process is one of the few that introduce the others
// to a member even if it did not ask: what it read in the directory may be old. If all
// did, a restart of many would move the square of their number.
func (r *Roster) shouldIntroduce(peer passthrough.Endpoint, self Member) bool {
	var ends [16]byte
	binary.LittleEndian.PutUint64(ends[:], uint64(peer))
	binary.LittleEndian.PutUint64(ends[8:], uint64(self.Peer))
	return xxhash.Sum64(ends[:])%uint64(len(r.peers)+1) < introducers
}

// sendIntroduction tells a member that has just started of all others.
func (r *Roster) sendIntroduction(peer passthrough.Endpoint) {
	var peers []introductionEntry
	for other, c := range r.peers {
		if other != peer && c.known && !c.silent {
			peers = append(peers, introductionEntry{other, c.member.Role})
		}
	}
	if len(peers) > 0 {
		r.options.Sender.Send(encodeIntroduction(peers), peer)
	}
}

// Announce sends a heartbeat to all members at once, after a change.
func (r *Roster) Announce(now time.Duration) {
	r.nextReport, r.nextHeartbeat = 0, 0
	r.sendDueHeartbeats(now)
}

// sendDueHeartbeats sends the heartbeats that are due.
func (r *Roster) sendDueHeartbeats(now time.Duration) {
	report, greet, contacts := now >= r.nextReport, now >= r.nextHeartbeat, now >= r.nextContact
	if !report && !greet && !contacts {
		return
	}
	self := r.options.Self()
	reportEvery, greetEvery := r.intervals()
	if report {
		r.nextReport = now + reportEvery
	}
	if greet {
		r.nextHeartbeat = now + greetEvery
	}
	if contacts {
		r.nextContact = now + contactInterval
	}
	if lasting := staticFieldsOf(self); lasting != r.lastStatic {
		r.lastStatic, r.fullUntil = lasting, now+fullHeartbeatIntervals*greetEvery
	}
	for peer, c := range r.peers {
		switch {
		case !c.known && contacts:
			c.attemptsLeft--
			r.sendHeartbeat(peer, c, self, now)
		case c.known && carriesReport(self, c) && report, c.known && !carriesReport(self, c) && greet:
			r.sendHeartbeat(peer, c, self, now)
		}
	}
}

// carriesReport tells whether heartbeats to a member carry the load of a server.
func carriesReport(self Member, c *peerState) bool {
	return self.Role == Agent && c.member.Role == Balancer
}

// intervals returns the intervals of reports and of other heartbeats.
func (r *Roster) intervals() (report, greet time.Duration) {
	agents := 0
	for _, c := range r.peers {
		if c.known && c.member.Role == Agent {
			agents++
		}
	}
	return max(minReportInterval, time.Duration(agents)*reportIntervalPerAgent), max(minHeartbeatInterval, time.Duration(agents)*heartbeatIntervalPerAgent)
}

func (r *Roster) sendHeartbeat(peer passthrough.Endpoint, c *peerState, self Member, now time.Duration) {
	r.send(peer, c, self, now, false)
}

// send sends a heartbeat; asks tells that it wants one in return at once.
func (r *Roster) send(peer passthrough.Endpoint, c *peerState, self Member, now time.Duration, asks bool) {
	report, greet := r.intervals()
	h := heartbeat{Member: self, wantsReply: asks, interval: greet, wantsIntroduction: len(r.peers) < introductionThreshold, heard: c.known && now-c.heardAt < c.reachableTimeout()}
	if carriesReport(self, c) {
		h.interval = report
	}
	c.sent++
	if c.hearsUs && now >= r.fullUntil && c.sent%fullHeartbeatEvery != 0 {
		b := compactHeartbeatOf(&h)
		r.options.Sender.Send(b.encode(), peer)
		return
	}
	r.options.Sender.Send(h.encode(), peer)
}
