package roster

import (
	"time"

	"bergamotbank/connection/passthrough"
)

const (
	// maxSuspicions is the number of members of which a process may tell all others at
	// once that they do not answer, suspicionInterval the time until it may name one more.
	// They are enough for the loss of a failure domain, of which several processes tell,
	// and limit the traffic of a process whose own link is at fault.
	maxSuspicions     = 20
	suspicionInterval = 50 * time.Millisecond
	// recentHeartbeat is the age of a heartbeat that refutes a suspicion, which is based on
	// probes of the last unreachableProbes intervals.
	recentHeartbeat = 150 * time.Millisecond
)

// suspicionBudget is a token bucket.
type suspicionBudget struct {
	used     int
	refilled time.Duration
	// exhausted counts the calls of take that failed.
	exhausted uint64
}

// take reports whether one more suspicion may be shared.
func (b *suspicionBudget) take(now time.Duration) bool {
	if refill := int((now - b.refilled) / suspicionInterval); refill > 0 {
		b.used = max(0, b.used-refill)
		b.refilled = now
	}
	if b.used >= maxSuspicions {
		b.exhausted++
		return false
	}
	b.used++
	return true
}

// shareSuspicion tells the other members that a member does not answer, so that they probe
// it without waiting for its next heartbeat, unless the suspicion came from one of them.
func (r *Roster) shareSuspicion(suspect *peerState, now time.Duration) {
	if suspect.suspected || r.Isolated(now) || !r.suspicions.take(now) {
		return
	}
	datagram := passthrough.AppendSuspicion(nil, suspect.member.Peer, uint32(suspect.member.Run))
	for peer, p := range r.peers {
		if p.reachable && p != suspect {
			r.options.Sender.Send(datagram, peer)
		}
	}
}

// HandleSuspicion handles a datagram of kind Suspicion. The unanswered probes of its sender
// count as one, so that this process needs fewer of its own.
func (r *Roster) HandleSuspicion(datagram []byte, now time.Duration) {
	peer, run, err := passthrough.ParseSuspicion(datagram)
	if err != nil {
		r.malformed++
		return
	}
	p := r.peers[peer]
	if p == nil || !p.known || uint32(p.member.Run) != run || p.suspected || now-p.lastHeartbeatAt < recentHeartbeat {
		return
	}
	p.suspected = true
	if p.probes == 0 {
		p.countProbe(now)
		r.probe(peer, p, now)
	}
	p.unansweredSince = min(p.unansweredSince, max(p.lastHeartbeatAt, now-unreachableProbes*probeInterval))
}
