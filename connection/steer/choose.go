package steer

import "math/rand/v2"

const (
	// crossDomainPenalty is added to the score of a server in another failure
	// domain: bytes between domains cost money and time. Crossing pays when the
	// difference in load is a tenth of a server's slots; a larger one keeps a domain
	// with few servers busier than the others.
	crossDomainPenalty = 0.1
	// flowWork is the mean work of an open flow in slots, for flows that were
	// opened since the last report: long flows send about a request a second of
	// some 20 ms.
	flowWork = 0.02
	// coldPenalty makes a cold server the last choice among equals.
	coldPenalty = 0.5
	// failingPenalty makes a server that fails requests the last choice; when all of
	// a service fail they share its flows.
	failingPenalty = 100.0
)

// choose picks a server of a service for a new flow, other than except: the
// better of two drawn in the balancer's own failure domain or the better of two
// drawn elsewhere, by load.
func (s *Router) choose(service string, except *entry) *entry {
	var best [2]*entry
	var score [2]float64
	var seen [2]int
	var drawn [2][2]*entry
	for _, e := range s.services[service] {
		if e == except || !s.eligible(e) {
			continue
		}
		group := 0
		if e.Domain != s.options.Domain {
			group = 1
		}
		seen[group]++
		draw(&drawn[group], e, seen[group])
	}
	for group := range drawn {
		for _, e := range drawn[group] {
			if e == nil {
				continue
			}
			if v := s.score(e); best[group] == nil || v < score[group] {
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

// draw keeps two of the entries offered so far, each pair equally likely. It is
// reservoir sampling; count is the number offered with this one.
func draw(kept *[2]*entry, e *entry, count int) {
	if count <= len(kept) {
		kept[count-1] = e
		return
	}
	if i := rand.IntN(count); i < len(kept) {
		kept[i] = e
	}
}

// eligible tells whether a server may get new flows by what this balancer knows.
func (s *Router) eligible(e *entry) bool {
	return e.Reachable && (e.State == Ready || e.State == Cold || e.State == Failing) && !s.version.OutDomains[e.Domain]
}

// score is the load of a server per slot; lower is better.
func (s *Router) score(e *entry) float64 {
	slots := float64(max(e.Slots, 1))
	v := (e.MeanOpenRequests + flowWork*(float64(e.Flows)+e.opened)) / slots
	switch e.State {
	case Cold:
		v += coldPenalty
	case Failing:
		v += failingPenalty
	default:
	}
	if e.Domain != s.options.Domain {
		v += crossDomainPenalty
	}
	return v
}
