package steer

import (
	"math/bits"
	"time"

	"bergamotbank/version/routes"
)

const (
	// relevance is the age, in service times, from which a report tells nothing about the
	// requests that are pending now, since those that it counted have completed; the mean
	// number of open requests does. Balancers that trust an older report choose the same
	// server at the same time. A queue of more than relevantQueue requests per slot, the most
	// that a server is sent, is not in that mean and takes longer to complete.
	relevance     = 4.0
	relevantQueue = 2.0
	// busyTolerance is the ratio to the mean load per slot of a service up to which a server
	// may be busier than the others. Each request per slot above it is penalised by busyPenalty
	// times the distance of the mean from busyService, at which all servers are busy anyway.
	// This keeps the utilisation of the fastest servers within 1.15 times the mean from a load of
	// 70% on; at lower load they have room for more.
	busyTolerance = 1.1
	busyPenalty   = 3.0
	busyService   = 2.0
	// spread is the range of the random factor that makes balancers with the same reports
	// choose different servers among those that are nearly equal. A larger one would send flows
	// to other domains although the servers of the own one are equally loaded.
	spread = crossDomainPenalty
	// reportTransit is the time by which a report must be younger than a placement to contain
	// it: a round trip between failure domains of 7 ms, and some time in queues.
	reportTransit = 10 * time.Millisecond
)

// measureFor returns the measure by which flows of a route are placed.
func measureFor(route *routes.Route) measure {
	if route.LatencyTarget > 0 {
		return (*Router).randomizedCompletion
	}
	return (*Router).score
}

// serviceLoad is the load of the candidates of a service.
type serviceLoad struct {
	// servers is the number of candidates, openPerSlot the sum of their mean numbers of open
	// requests per slot.
	servers     int
	openPerSlot float64
	// measured is the number of candidates with a known service time, serviceTime the sum of
	// these.
	measured    int
	serviceTime time.Duration
	// meanOpenPerSlot and meanServiceTime, in nanoseconds, are the means. They are computed
	// for each report, of which there are fewer than comparisons of candidates.
	meanOpenPerSlot, meanServiceTime float64
}

// addLoad adds a candidate to the load of its service.
func (r *Router) addLoad(e *entry) {
	l := r.loads[e.Service]
	if l == nil {
		l = &serviceLoad{}
		r.loads[e.Service] = l
	}
	e.load, e.roundTripTime = l, r.roundTripTo(e.Domain)
	e.perSlot = 1 / e.slots()
	e.openPerSlot = e.MeanOpenRequests * e.perSlot
	l.servers++
	l.openPerSlot += e.openPerSlot
	if e.ServiceTime > 0 {
		l.measured++
		l.serviceTime += e.ServiceTime
	}
	l.updateMeans()
	e.fading = 0
	if l.measured > 0 {
		e.fading = 1 / (relevance * e.serviceTime() * max(1, float64(e.Pending)*e.perSlot/relevantQueue))
	}
}

// removeLoad removes a candidate from the load of its service.
func (r *Router) removeLoad(e *entry) {
	l := e.load
	l.servers--
	l.openPerSlot -= e.openPerSlot
	if e.ServiceTime > 0 {
		l.measured--
		l.serviceTime -= e.ServiceTime
	}
	if l.servers == 0 {
		delete(r.loads, e.Service)
	}
	l.updateMeans()
}

func (l *serviceLoad) updateMeans() {
	l.meanOpenPerSlot = l.openPerSlot / float64(max(l.servers, 1))
	l.meanServiceTime = float64(l.serviceTime) / float64(max(l.measured, 1))
}

func (e *entry) slots() float64 { return float64(max(e.Slots, 1)) }

// serviceTime returns the mean service time in nanoseconds, that of the service if the
// server's is not known.
func (e *entry) serviceTime() float64 {
	if e.ServiceTime > 0 {
		return float64(e.ServiceTime)
	}
	return e.load.meanServiceTime
}

// randomizedCompletion returns the expected completion of a request at a server with a random
// factor, or the score if no server of the service reports its service time.
func (r *Router) randomizedCompletion(e *entry) float64 {
	if e.load.measured == 0 {
		return r.score(e)
	}
	// Each candidate of a choice takes other bits: one random number is enough for it.
	r.randomBits = bits.RotateLeft64(r.randomBits, 8)
	return r.completion(e) * (1 + spread/256*float64(uint8(r.randomBits)))
}

// expectedCompletion returns the expected completion of a request at a server if flows of the
// route are placed by it, else 0.
func (r *Router) expectedCompletion(e *entry, route *routes.Route) time.Duration {
	if route.LatencyTarget == 0 || e.load.measured == 0 {
		return 0
	}
	return time.Duration(r.completion(e))
}

// completion returns the expected time from now until a server has processed a request placed
// there, with penalties, in nanoseconds: the wait for a slot and the service time. A server
// without a measurement counts with the mean of the service.
func (r *Router) completion(e *entry) float64 {
	v := e.serviceTime()*(1+r.pending(e)*e.perSlot) + e.load.meanServiceTime*(e.busyPenalty()+e.statePenalty())
	if e.group != ownDomain {
		v += max(crossDomainPenalty*e.load.meanServiceTime, float64(r.detour(e)))
	}
	return v
}

// busyPenalty returns the penalty of a server that is busier than the others of its service.
func (e *entry) busyPenalty() float64 {
	mean := e.load.meanOpenPerSlot
	excess := e.openPerSlot - busyTolerance*mean
	if excess <= 0 || mean >= busyService {
		return 0
	}
	return busyPenalty * (busyService - mean) * excess
}

// pending returns the expected number of requests at a server that a new one waits for.
func (r *Router) pending(e *entry) float64 {
	if !e.HasLoad {
		return e.openRequests()
	}
	pending := e.MeanOpenRequests + float64(e.placements.count)
	if weight := 1 - float64(r.now-e.ReportedAt)*e.fading; weight > 0 {
		pending += weight * (float64(e.Pending) - e.MeanOpenRequests)
	}
	return pending
}

// placements are the requests that the balancer placed at a server and that its last report
// does not contain.
type placements struct {
	count int
	// times are the times of the last placements, as a ring that next continues.
	times [4]time.Duration
	next  int
}

// add records a placement.
func (p *placements) add(now time.Duration) {
	p.times[p.next] = now
	p.next = (p.next + 1) % len(p.times)
	p.count++
}

// reported removes the placements that a report which arrived at the given time contains.
func (p *placements) reported(at time.Duration) {
	kept := 0
	for i := range min(p.count, len(p.times)) {
		if p.times[(p.next+len(p.times)-1-i)%len(p.times)] > at-reportTransit {
			kept++
		}
	}
	p.count = kept
}
