package steer

import "math/rand/v2"

const (
	// crossDomainPenalty is added to the score of a server in another failure
	// domain, since traffic between domains adds cost and latency. Another domain is
	// preferred when the load per slot differs by more than a tenth. A larger penalty
	// would keep a domain with few servers busier than the others.
	crossDomainPenalty = 0.1
	// flowLoad is the assumed mean load of an open flow in slots. It accounts for
	// flows opened since the server's last report. Long-lived flows send about one
	// request of some 20 ms per second.
	flowLoad = 0.02
	// coldPenalty is added for a cold server, so that equally loaded servers are
	// preferred to it.
	coldPenalty = 0.5
	// failingPenalty is added for a server that fails requests, so that it is used
	// only if all servers of the service fail; they then share its flows.
	failingPenalty = 100.0
)

// choose selects a server of a service for a new flow, other than except. It
// samples two servers in the balancer's own failure domain and two in other
// domains, and returns the one with the lowest score.
func (r *Router) choose(service string, except *entry) *entry {
	var best [2]*entry
	var score [2]float64
	var seen [2]int
	var samples [2][2]*entry
	for _, e := range r.services[service] {
		if e == except || !r.eligible(e) {
			continue
		}
		group := 0
		if e.Domain != r.options.Domain {
			group = 1
		}
		seen[group]++
		sample(&samples[group], e, seen[group])
	}
	for group := range samples {
		for _, e := range samples[group] {
			if e == nil {
				continue
			}
			if v := r.score(e); best[group] == nil || v < score[group] {
				best[group], score[group] = e, v
			}
		}
	}
	switch {
	case best[0] == nil:
		return best[1]
	case best[1] != nil && score[1] < score[0]:
		return best[1]
	}
	return best[0]
}

// sample keeps two of the entries seen so far, each pair with equal probability,
// by reservoir sampling. count is the number of entries seen, including e.
func sample(kept *[2]*entry, e *entry, count int) {
	if count <= len(kept) {
		kept[count-1] = e
		return
	}
	if i := rand.IntN(count); i < len(kept) {
		kept[i] = e
	}
}

// eligible reports whether a server may receive new flows.
func (r *Router) eligible(e *entry) bool {
	return e.Reachable && (e.State == Ready || e.State == Cold || e.State == Failing) && !r.version.OutDomains[e.Domain]
}

// score returns the load of a server per slot with penalties; lower is better.
func (r *Router) score(e *entry) float64 {
	slots := float64(max(e.Slots, 1))
	v := (e.MeanOpenRequests + flowLoad*(float64(e.Flows)+e.openedSinceReport)) / slots
	switch e.State {
	case Cold:
		v += coldPenalty
	case Failing:
		v += failingPenalty
	default:
	}
	if e.Domain != r.options.Domain {
		v += crossDomainPenalty
	}
	return v
}
