package roster

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotbank/connection/passthrough"
)

const (
	// minReportInterval is the shortest interval of agents' heartbeats to balancers:
	// a server whose agent sends no heartbeats gets no new flows after three intervals.
	minReportInterval = 250 * time.Millisecond
	// minHeartbeatInterval is the shortest interval of all other heartbeats.
	minHeartbeatInterval = time.Second
	// reportIntervalPerAgent and heartbeatIntervalPerAgent are the intervals per agent
	// of the deployment: they make both intervals grow with the number of agents, so
	// that a balancer receives at most 100 reports per second. Balancers request the
	// reports that they need sooner, and a failed member is detected by probes.
	reportIntervalPerAgent    = 10 * time.Millisecond
	heartbeatIntervalPerAgent = 40 * time.Millisecond
	// introducers is the number of members that send an introduction unrequested.
	introducers = 4
	// One in fullHeartbeatEvery heartbeats is a full one, even if the receiver should
	// know its contents. After a change every heartbeat is a full one for
	// fullHeartbeatIntervals intervals, since datagrams may be lost.
	fullHeartbeatEvery     = 8
	fullHeartbeatIntervals = 3
	// slots is the number of times within an interval at which heartbeats may be due.
	slots = 1024
)

// shouldIntroduce reports whether this process is one of the few that send a member
// an introduction unrequested, since the directory it read may be out of date. If all
// did, the traffic after a mass restart would grow with the square of its size.
func (r *Roster) shouldIntroduce(peer passthrough.Endpoint, self Member) bool {
	return hashOfPair(peer, self.Peer)%uint64(len(r.peers)+1) < introducers
}

// sendIntroduction sends a member that has just started the list of all others, in as
// many datagrams as it takes.
func (r *Roster) sendIntroduction(peer passthrough.Endpoint) {
	peers := make([]introductionEntry, 0, len(r.peers))
	for other, p := range r.peers {
		if other != peer && p.known && !p.silent {
			peers = append(peers, introductionEntry{other, p.member.Role})
		}
	}
	if len(peers) == 0 {
		r.options.Sender.Send(encodeIntroduction(nil), peer)
	}
	for part := range slices.Chunk(peers, maxIntroductionEntries) {
		r.options.Sender.Send(encodeIntroduction(part), peer)
	}
}

// wantsIntroduction reports whether a heartbeat to a peer requests an introduction: one
// balancer at a time is asked until one has answered. The directory may lack a process whose
// entry has lapsed.
func (r *Roster) wantsIntroduction(p *peerState, now time.Duration) bool {
	if r.introduced || p.role() != Balancer || (r.introductionAsked > 0 && now-r.introductionAsked < contactInterval) {
		return false
	}
	r.introductionAsked = now
	return true
}

// Announce sends a heartbeat to all members immediately, after a change of this
// process.
func (r *Roster) Announce(now time.Duration) {
	for _, p := range r.peers {
		p.nextHeartbeat = 0
	}
	r.sendDueHeartbeats(now)
}

// sendDueHeartbeats sends the heartbeats that are due.
func (r *Roster) sendDueHeartbeats(now time.Duration) {
	contact := now >= r.nextContact
	if contact {
		r.nextContact = now + contactInterval
	}
	self := r.options.Self()
	_, regular := r.intervals()
	if static := staticFieldsOf(self); static != r.lastStatic {
		r.lastStatic, r.fullUntil = static, now+fullHeartbeatIntervals*regular
	}
	for peer, p := range r.peers {
		switch {
		case !p.known:
			if contact && p.contactDue() {
				r.sendHeartbeat(peer, p, self, now)
			}
		case now >= p.nextHeartbeat:
			r.sendHeartbeat(peer, p, self, now)
		}
	}
}

// nextInSlot returns the time after now, at most an interval away, of the next heartbeat
// from one process to another. A hash of the addresses selects the slot of the interval.
// The heartbeats of a process to the others are thereby spread over the interval: when it
// fails, one of them is due soon, and its receiver tells all others. The heartbeats that a
// process receives are spread too, also if all their senders started at the same time, so
// that a pause in them shows that it is cut off.
func nextInSlot(from, to passthrough.Endpoint, now, interval time.Duration) time.Duration {
	slot := time.Duration(hashOfPair(from, to)%slots) * interval / slots
	return now + interval - (now-slot+interval)%interval
}

// hashOfPair returns a hash of two addresses, which depends on their order.
func hashOfPair(first, second passthrough.Endpoint) uint64 {
	var addresses [16]byte
	binary.LittleEndian.PutUint64(addresses[:], uint64(first))
	binary.LittleEndian.PutUint64(addresses[8:], uint64(second))
	return xxhash.Sum64(addresses[:])
}

// carriesReport reports whether heartbeats to a member carry the load of a server:
// those of an agent to a balancer, which are sent more often than others.
func carriesReport(self Member, p *peerState) bool {
	return self.Role == Agent && p.member.Role == Balancer
}

// intervals returns the intervals of reports and of other heartbeats.
func (r *Roster) intervals() (report, regular time.Duration) {
	agents := time.Duration(r.agents)
	return max(minReportInterval, agents*reportIntervalPerAgent), max(minHeartbeatInterval, agents*heartbeatIntervalPerAgent)
}

func (r *Roster) sendHeartbeat(peer passthrough.Endpoint, p *peerState, self Member, now time.Duration) {
	r.send(peer, p, self, now, false)
}

// send sends a heartbeat; wantsReply requests an immediate heartbeat in return.
func (r *Roster) send(peer passthrough.Endpoint, p *peerState, self Member, now time.Duration, wantsReply bool) {
	report, regular := r.intervals()
	h := heartbeat{Member: self, acceptsLoad: true, acceptsEra: true, wantsReply: wantsReply, interval: regular, wantsIntroduction: r.wantsIntroduction(p, now), receivesHeartbeats: p.known && now-p.lastHeartbeatAt < p.reachableTimeout()}
	if carriesReport(self, p) {
		h.interval = report
	} else {
		// Only balancers use the load.
		h.Report.HasLoad = false
	}
	p.nextHeartbeat = nextInSlot(self.Peer, peer, now, h.interval)
	p.sent++
	if p.receivesHeartbeats && !h.wantsIntroduction && now >= r.fullUntil && p.sent%fullHeartbeatEvery != 0 {
		b := compactHeartbeatOf(&h)
		b.hasLoad, b.hasEra = b.hasLoad && p.acceptsLoad, b.hasEra && p.acceptsEra
		r.options.Sender.Send(b.encode(), peer)
		return
	}
	r.options.Sender.Send(h.encode(), peer)
}
