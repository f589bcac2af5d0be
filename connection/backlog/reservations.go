package backlog

import (
	"math"
	"time"

	"bergamotbank/connection/passthrough"
)

const (
	// defaultHandshake is the time from an opening packet at the agent to the first request
	// that is assumed before the first measurement.
	defaultHandshake = 20 * time.Millisecond
	// maxHandshake is the largest duration that is taken for a handshake. A caller that sends
	// its first request later has lost a packet or keeps the flow for later use.
	maxHandshake = 200 * time.Millisecond
	// minReservation is the least time for which a slot is reserved for a flow that is being
	// opened. Weak balancers delay packets by tens of milliseconds.
	minReservation = 50 * time.Millisecond
	// reservationDeviations is the number of mean deviations above the mean handshake after
	// which a caller is presumed not to follow up.
	reservationDeviations = 4
	// unmeasuredPerSlot is the limit per slot while service time or handshake are not measured.
	unmeasuredPerSlot = 2
	// maxPerSlot is the largest limit per slot. Servers refuse requests beyond about five per
	// slot.
	maxPerSlot = 4
	// rateWindow is the time constant with which rates decay.
	rateWindow = time.Second
)

// estimate is a moving average of a duration and of its deviation.
type estimate struct {
	average, deviation float64
	measured           bool
}

// The weights of a new sample in the average and in the deviation, those of round-trip times in
// RFC 6298.
const (
	averageWeight   = 1.0 / 8
	deviationWeight = 1.0 / 4
)

func (e *estimate) add(sample time.Duration) {
	s := float64(sample)
	if !e.measured {
		e.average, e.deviation, e.measured = s, s/2, true
		return
	}
	e.deviation += deviationWeight * (math.Abs(s-e.average) - e.deviation)
	e.average += averageWeight * (s - e.average)
}

func (e *estimate) mean() time.Duration {
	if !e.measured {
		return defaultHandshake
	}
	return time.Duration(e.average)
}

// above returns the mean plus a number of deviations.
func (e *estimate) above(deviations float64) time.Duration {
	return time.Duration(e.average + deviations*e.deviation)
}

// rate is a number of events per second, with exponential decay.
type rate struct {
	count     float64
	updatedAt time.Duration
}

func (r *rate) add(now time.Duration) {
	r.count = r.perSecond(now)*rateWindow.Seconds() + 1
	r.updatedAt = now
}

func (r *rate) perSecond(now time.Duration) float64 {
	return r.count * math.Exp(-float64(now-r.updatedAt)/float64(rateWindow)) / rateWindow.Seconds()
}

// reservations are the slots reserved for flows whose opening packet was forwarded and whose
// first request has not arrived.
type reservations struct {
	handshake estimate
	reserved  map[passthrough.Flow]time.Duration
	// order holds the reservations by the time at which they were made, including those that
	// have ended since.
	order []reservation
}

type reservation struct {
	flow passthrough.Flow
	at   time.Duration
}

func newReservations() reservations {
	return reservations{reserved: map[passthrough.Flow]time.Duration{}}
}

// Reserve reserves a slot for a flow whose opening packet is sent to the server.
func (r *reservations) Reserve(flow passthrough.Flow, now time.Duration) {
	r.reserved[flow] = now
	r.order = append(r.order, reservation{flow, now})
}

// Release ends the reservation of a flow that has ended, or that another server holds.
func (r *reservations) Release(flow passthrough.Flow) { delete(r.reserved, flow) }

// Started ends the reservation of a flow whose first request has arrived and measures the
// handshake.
func (r *reservations) Started(flow passthrough.Flow, openedAt, now time.Duration) {
	r.Release(flow)
	if d := now - openedAt; d <= maxHandshake {
		r.handshake.add(d)
	}
}

// Reserved returns the number of reservations.
func (r *reservations) Reserved(now time.Duration) int {
	hold := maxHandshake
	if r.handshake.measured {
		hold = min(max(r.handshake.above(reservationDeviations), minReservation), maxHandshake)
	}
	ended := 0
	for _, o := range r.order {
		at, ok := r.reserved[o.flow]
		if ok && at == o.at {
			if now-at < hold {
				break
			}
			delete(r.reserved, o.flow)
		}
		ended++
	}
	r.order = r.order[ended:]
	return len(r.reserved)
}

// inUse returns the number of requests in progress and of reservations.
func (r *reservations) inUse(load *Load, now time.Duration) int {
	return load.Requests + r.Reserved(now)
}

// limit returns the number of requests and reservations at which the server has no room: its
// slots and the requests that it finishes during a handshake, so that no slot is idle until the
// next request arrives. One standard deviation of that number, by Poisson, is added: a slot
// that is idle costs capacity, whereas a request in the server's queue waits for a fraction of a
// service time.
func (r *reservations) limit(load *Load) int {
	slots := max(load.Slots, 1)
	if load.ServiceTime == 0 || !r.handshake.measured {
		return unmeasuredPerSlot * slots
	}
	finished := float64(slots) * float64(r.handshake.above(1)) / float64(load.ServiceTime)
	return min(slots+int(math.Ceil(finished+math.Sqrt(finished))), maxPerSlot*slots)
}

func (r *reservations) hasRoom(load *Load, now time.Duration) bool {
	return r.inUse(load, now) < r.limit(load)
}
