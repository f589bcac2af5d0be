// Package hedge decides when a balancer sends a second copy of an opening packet to another
// server, because the first one takes longer than usual to open the flow. It uses no network
// and no clock: times, servers and the sending of packets are passed in.
package hedge

import (
	"time"

	"bergamotbank/connection/passthrough"
)

const (
	// attemptLimit is the time after its first opening packet at which a caller abandons the
	// attempt.
	attemptLimit = 1400 * time.Millisecond
	// resendAfter is the time after which a packet of a hedged flow is taken for a
	// retransmission. Callers retransmit after 200 ms.
	resendAfter = 150 * time.Millisecond
	// maxOpenings limits the memory for openings in progress to about 1 MB. Further ones are
	// neither measured nor hedged.
	maxOpenings = 4096
)

// Opening is a flow that is being opened.
type Opening struct {
	// Flow is the flow and Service the service selected for it.
	Flow    passthrough.Flow
	Service string
	// First is the agent that was sent the opening packet, Second the one that was sent the
	// second copy, 0 for none yet.
	First, Second passthrough.Endpoint
	// Packet is the opening packet with room for its frame, nil if the request of the flow may
	// not be repeated.
	Packet []byte
	// Copy is the number of the caller's last copy of the packet.
	Copy uint32
	// hedgeable is true if Packet was set, refused if the last copy of the caller was
	// refused.
	hedgeable, refused bool
	// openedAt is the arrival of the opening packet, sentAt the time of the second copy,
	// answeredAt the arrival of the caller's first packet on the opened flow, 0 for not yet.
	openedAt, sentAt, answeredAt time.Duration
	// ended is true if the opening needs no second copy any more.
	ended bool
}

// Age returns the time since the first opening packet.
func (o *Opening) Age(now time.Duration) time.Duration { return now - o.openedAt }

// Counters count second copies by outcome.
type Counters struct {
	// HedgesSent counts second copies, HedgesWon those whose server holds the flow, and
	// HedgesWasted those whose server does not, or is not known to.
	HedgesSent, HedgesWon, HedgesWasted uint64
}

// Server is what the choice of the server for a second copy depends on.
type Server struct {
	// Ready is true if the server takes new flows without restriction: it is reachable and not
	// cold, draining, failing or down.
	Ready bool
	// OutOfService is true if its failure domain is out of service.
	OutOfService bool
	// Slots is the number of requests that it processes concurrently, Pending the expected
	// number of requests in progress or waiting there.
	Slots   int
	Pending float64
}

// Accepts reports whether a server may get a second copy. It needs a free slot: otherwise the
// copy would take capacity from another caller's first one.
func (s Server) Accepts() bool {
	return s.Ready && !s.OutOfService && s.Pending+1 <= float64(s.Slots)
}

// service holds the measurements, the budget and the openings of a service.
type service struct {
	latency latency
	budget  budget
	// openings are in the order of arrival. Those before next have ended or were hedged.
	openings []*Opening
	next     int
}

// Hedger holds the openings in progress at one balancer. It is not safe for concurrent use.
type Hedger struct {
	limit    float64
	services map[string]*service
	openings map[passthrough.Flow]*Opening
	counters Counters
}

// New returns a Hedger that sends second copies for at most the given share of the openings of
// a service. A limit of 0 gives nil.
func New(limit float64) *Hedger {
	if limit <= 0 {
		return nil
	}
	return &Hedger{limit: limit, services: map[string]*service{}, openings: map[passthrough.Flow]*Opening{}}
}

// Counters returns the current counters, all zero for nil.
func (h *Hedger) Counters() Counters {
	if h == nil {
		return Counters{}
	}
	return h.counters
}

// Opened records that the first opening packet of a flow was sent to an agent. Openings that
// must not be hedged are recorded without a packet: they are measured and count for the budget.
// Opened reports whether a second copy may be sent.
func (h *Hedger) Opened(o Opening, now time.Duration) (hedgeable bool) {
	s := h.services[o.Service]
	if s == nil {
		s = &service{latency: newLatency(1 - h.limit)}
		h.services[o.Service] = s
	}
	s.budget.earn(h.limit)
	if len(h.openings) >= maxOpenings || h.openings[o.Flow] != nil {
		return false
	}
	o.openedAt, o.hedgeable = now, o.Packet != nil
	h.openings[o.Flow] = &o
	s.openings = append(s.openings, &o)
	return o.hedgeable
}

// Answered records a packet of a caller on an opened flow. It returns the opening if a second
// copy was sent for it and the holder of the flow is not known yet, else nil.
func (h *Hedger) Answered(flow passthrough.Flow, now time.Duration) *Opening {
	o := h.openings[flow]
	if o == nil {
		return nil
	}
	if o.answeredAt == 0 {
		o.answeredAt = now
		h.services[o.Service].latency.record(now-o.openedAt, now)
	}
	o.ended = true
	if o.Second == 0 {
		delete(h.openings, flow)
		return nil
	}
	return o
}

// Copied records a caller's copy of an opening packet and reports whether the opening may be
// sent to a second agent, or was.
func (h *Hedger) Copied(flow passthrough.Flow, number uint32) bool {
	o := h.openings[flow]
	if o == nil {
		return false
	}
	o.Copy, o.refused = number, false
	return o.hedgeable
}

// Moved records that the first agent has forwarded the opening packet to another one.
func (h *Hedger) Moved(flow passthrough.Flow, agent passthrough.Endpoint) {
	if o := h.openings[flow]; o != nil && agent != o.Second {
		o.First = agent
	}
}

// Settled records the holder of a flow. If a second copy was sent, it returns the agent that
// does not hold the flow, else 0.
func (h *Hedger) Settled(flow passthrough.Flow, holder passthrough.Endpoint) (loser passthrough.Endpoint) {
	o := h.openings[flow]
	if o == nil {
		return 0
	}
	h.end(o, holder)
	switch {
	case o.Second == 0:
		return 0
	case holder == o.Second:
		return o.First
	}
	return o.Second
}

// Refused records that an agent has refused or declined a copy of the opening packet of a flow. It
// reports whether the flow is to be reset, since no agent has the packet any more: the copy was
// the last one that the caller has sent.
func (h *Hedger) Refused(flow passthrough.Flow, agent passthrough.Endpoint, number uint32) (reset bool) {
	o := h.openings[flow]
	if o == nil || o.answeredAt != 0 {
		// The flow is open, or its caller has given up.
		return false
	}
	if o.Second != 0 && agent == o.Second {
		h.counters.HedgesWasted++
		o.Second, o.Packet = 0, nil
	} else {
		o.refused = number == o.Copy
	}
	if o.Second != 0 || !o.refused {
		return false
	}
	h.end(o, 0)
	return true
}

// Ended records that a caller has reset a flow. It returns the opening if a second copy was
// sent for it, else nil.
func (h *Hedger) Ended(flow passthrough.Flow) *Opening {
	o := h.openings[flow]
	if o == nil {
		return nil
	}
	h.end(o, 0)
	if o.Second == 0 {
		return nil
	}
	return o
}

// end removes an opening and counts the outcome of its second copy.
func (h *Hedger) end(o *Opening, holder passthrough.Endpoint) {
	o.ended = true
	delete(h.openings, o.Flow)
	switch {
	case o.Second == 0:
	case holder == o.Second:
		h.counters.HedgesWon++
	default:
		h.counters.HedgesWasted++
	}
}

// Holder returns the agent that more probably holds a hedged flow, and the other one. The second
// server responds in about the usual time, so an answer before half of that is the first one's.
// A retransmission tries the other agent, since the first choice may have failed.
func (h *Hedger) Holder(o *Opening, now time.Duration) (holder, other passthrough.Endpoint) {
	secondLikely := o.answeredAt-o.sentAt >= h.services[o.Service].latency.median/2
	if now-o.answeredAt >= resendAfter {
		secondLikely = !secondLikely
	}
	if secondLikely {
		return o.Second, o.First
	}
	return o.First, o.Second
}

// Due calls send for each opening that is due for a second copy, the oldest of a service first,
// while the budget lasts. send selects a server, sends the copy and returns the server's agent,
// or 0 if no server may get it; the opening then stays due. Due also removes the openings whose
// callers have given up.
func (h *Hedger) Due(now time.Duration, send func(o *Opening) passthrough.Endpoint) {
	for _, s := range h.services {
		h.expire(s, now)
		delay, ok := s.latency.delay(now)
		if ok {
			h.sendDue(s, delay, now, send)
		}
	}
}

func (h *Hedger) sendDue(s *service, delay, now time.Duration, send func(o *Opening) passthrough.Endpoint) {
	for s.next < len(s.openings) && s.openings[s.next].settled() {
		s.next++
	}
	for _, o := range s.openings[s.next:] {
		if now-o.openedAt < delay || !s.budget.available() {
			return
		}
		if o.settled() {
			continue
		}
		second := send(o)
		if second == 0 {
			return
		}
		s.budget.spend()
		h.counters.HedgesSent++
		o.Second, o.sentAt = second, now
	}
}

// settled reports whether an opening needs no second copy.
func (o *Opening) settled() bool { return o.ended || o.Packet == nil || o.Second != 0 }

// expire removes the openings that have ended or whose callers have given up. An opening that
// was not answered counts as one that took until then.
func (h *Hedger) expire(s *service, now time.Duration) {
	expired := 0
	for _, o := range s.openings {
		if now-o.openedAt < attemptLimit && !o.ended {
			break
		}
		expired++
		if h.openings[o.Flow] != o {
			continue
		}
		if now-o.openedAt < attemptLimit {
			// The holder of a hedged flow is still to be reported.
			expired--
			break
		}
		if o.answeredAt == 0 {
			s.latency.record(attemptLimit, now)
		}
		h.end(o, 0)
	}
	if expired == 0 {
		return
	}
	kept := copy(s.openings, s.openings[expired:])
	clear(s.openings[kept:])
	s.openings = s.openings[:kept]
	s.next = max(0, s.next-expired)
}
