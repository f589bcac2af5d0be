package steer

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

// The groups of candidates: servers in the balancer's own failure domain, and others.
const (
	ownDomain = iota
	otherDomains
	groupCount
)

// candidates are the servers of a service that may receive new flows.
type candidates [groupCount][]*entry

// updateCandidate adds a server to the candidates of its service or removes it,
// depending on whether it may receive new flows.
func (r *Router) updateCandidate(e *entry) {
	eligible := r.version != nil && r.eligible(e)
	if !eligible {
		r.removeCandidate(e)
		return
	}
	if e.position >= 0 {
		return
	}
	r.addLoad(e)
	c := r.services[e.Service]
	if c == nil {
		c = &candidates{}
		r.services[e.Service] = c
	}
	e.group = otherDomains
	if e.Domain == r.options.Domain {
		e.group = ownDomain
	}
	e.position = len(c[e.group])
	c[e.group] = append(c[e.group], e)
}

// removeCandidate removes a server from the candidates of its service. The last one
// takes its place.
func (r *Router) removeCandidate(e *entry) {
	if e.position < 0 {
		return
	}
	r.removeLoad(e)
	c := r.services[e.Service]
	list := c[e.group]
	last := len(list) - 1
	list[e.position] = list[last]
	list[e.position].position = e.position
	list[last] = nil
	c[e.group] = list[:last]
	e.position = -1
	if len(c[ownDomain])+len(c[otherDomains]) == 0 {
		delete(r.services, e.Service)
	}
}

// choose selects a server of a service for a new flow, other than except: the one with the
// lowest value of a measure among the drawn servers with a fresh report. If there is none, it
// samples two servers in the balancer's own failure domain and two in other domains by their
// last reports.
func (r *Router) choose(service string, except *entry, m measure) *entry {
	r.randomBits = r.random.Uint64()
	if e := r.bestDrawn(service, except, m); e != nil {
		return e
	}
	c := r.services[service]
	if c == nil {
		return nil
	}
	var best scored
	for group := range c {
		first, second := r.sample(c[group], except)
		best = r.better(best, first, m)
		best = r.better(best, second, m)
	}
	return best.entry
}

// measure compares servers as candidates for a new flow; lower is better.
type measure func(r *Router, e *entry) float64

// scored is a server with its value of a measure.
type scored struct {
	entry *entry
	score float64
}

// better returns the one with the lower value of a measure; e may be nil.
func (r *Router) better(best scored, e *entry, m measure) scored {
	if e == nil {
		return best
	}
	if score := m(r, e); best.entry == nil || score < best.score {
		return scored{e, score}
	}
	return best
}

// sample returns two different entries of a list other than except, each pair with equal
// probability. If there are fewer, the rest is nil.
func (r *Router) sample(list []*entry, except *entry) (first, second *entry) {
	n := len(list)
	excluded := [2]int{n, n}
	if except != nil && except.position >= 0 && except.position < n && list[except.position] == except {
		excluded[0] = except.position
		n--
	}
	if n == 0 {
		return nil, nil
	}
	i := nth(r.random.IntN(n), excluded)
	if n == 1 {
		return list[i], nil
	}
	excluded[1] = i
	return list[i], list[nth(r.random.IntN(n-1), excluded)]
}

// nth returns the position of the nth entry that is not excluded.
func nth(n int, excluded [2]int) int {
	low, high := min(excluded[0], excluded[1]), max(excluded[0], excluded[1])
	if n >= low {
		n++
	}
	if n >= high {
		n++
	}
	return n
}

// eligible reports whether a server may receive new flows.
func (r *Router) eligible(e *entry) bool {
	return e.Reachable && (e.State == Ready || e.State == Cold || e.State == Failing) && !r.version.OutDomains[e.Domain]
}

// score returns the load of a server per slot with penalties; lower is better.
func (r *Router) score(e *entry) float64 {
	v := e.openRequests()/e.slots() + e.statePenalty()
	if e.group != ownDomain {
		v += crossDomainPenalty
	}
	return v
}

// openRequests returns the number of open requests at a server, with those expected of the
// flows opened since its report.
func (e *entry) openRequests() float64 {
	return e.MeanOpenRequests + flowLoad*(float64(e.Flows)+e.openedSinceReport)
}

// statePenalty returns the penalty of a candidate for its state, in requests per slot.
func (e *entry) statePenalty() float64 {
	switch e.State {
	case Cold:
		return coldPenalty
	case Failing:
		return failingPenalty
	default:
		return 0
	}
}
