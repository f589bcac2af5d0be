package steer

import (
	"slices"
	"time"
)

const (
	// maxReportAge is the age of a report up to which a drawn server is placed by it.
	maxReportAge = 500 * time.Millisecond
	// refreshInterval is the time after which the servers of a service in use are drawn
	// again if no flow has been placed meanwhile.
	refreshInterval = 250 * time.Millisecond
	// activeFor is the time after its last new flow for which a service is in use.
	activeFor = 2 * time.Second
	// maxDrawn is the number of drawn servers of a service: those of the next flow and, in
	// a burst, of the flows that arrive before the agents have answered.
	maxDrawn = 8
)

// draw holds the servers drawn for the next flows of a service, the oldest first. Their
// agents are asked for a report when they are drawn, so that a flow is placed by the load of
// a moment ago, at a cost that depends on the new flows and not on the number of servers.
// An agent that has failed does not answer and receives no flow.
type draw struct {
	entries  []*entry
	drawnAt  time.Duration
	placedAt time.Duration
}

// bestDrawn returns the drawn server with the lowest value of a measure among those with a
// fresh report, other than except, or nil.
func (r *Router) bestDrawn(service string, except *entry, m measure) *entry {
	d := r.draws[service]
	if d == nil {
		return nil
	}
	var best scored
	for _, e := range d.entries {
		if e != except && e.position >= 0 && e.Service == service && e.hasFreshReport(r.now) {
			best = r.better(best, e, m)
		}
	}
	return best.entry
}

// hasFreshReport reports whether the agent has answered the last request for a report and
// its last report is young enough.
func (e *entry) hasFreshReport(now time.Duration) bool {
	return e.ReportedAt >= e.requestedAt && now-e.ReportedAt <= maxReportAge
}

// placed records that a flow was placed at a server of a service and draws servers for the
// next one. A report is used for one flow only, since other balancers see the same load.
func (r *Router) placed(service string, chosen *entry) {
	if r.options.RequestReport == nil {
		return
	}
	d := r.draws[service]
	if d == nil {
		d = &draw{}
		r.draws[service] = d
	}
	d.placedAt = r.now
	d.remove(chosen)
	r.drawNext(service, d, d.placedAt)
}

// drawNext draws two servers of the own failure domain and two of others, and requests their
// reports.
func (r *Router) drawNext(service string, d *draw, now time.Duration) {
	d.drawnAt = now
	c := r.services[service]
	if c == nil {
		return
	}
	for group := range c {
		first, second := r.sample(c[group], nil)
		for _, e := range [...]*entry{first, second} {
			if e == nil {
				continue
			}
			d.remove(e)
			if len(d.entries) >= maxDrawn {
				d.entries = slices.Delete(d.entries, 0, 1)
			}
			d.entries = append(d.entries, e)
			r.requestReport(e, now)
		}
	}
}

// minRequestInterval is the age of a report, or of the last request for one, from which
// another one is requested.
const minRequestInterval = 200 * time.Millisecond

// requestReport requests a report of a server's agent unless there is a recent one.
func (r *Router) requestReport(e *entry, now time.Duration) {
	if now-max(e.ReportedAt, e.requestedAt) >= minRequestInterval {
		e.requestedAt = now
		r.options.RequestReport(e.Agent)
	}
}

// remove removes a server.
func (d *draw) remove(e *entry) {
	if i := slices.Index(d.entries, e); i >= 0 {
		d.entries = slices.Delete(d.entries, i, i+1)
	}
}

// refreshDraws draws servers again for the services in use whose reports become old, and
// forgets the others.
func (r *Router) refreshDraws(now time.Duration) {
	for service, d := range r.draws {
		switch {
		case now-d.placedAt > activeFor:
			delete(r.draws, service)
		case now-d.drawnAt >= refreshInterval:
			r.drawNext(service, d, now)
		}
	}
}
