package steer

import "time"

const (
	// maxRoundTrip is the longest time until a requested report arrives that is taken for a
	// round trip. A later one was delayed by a busy process or a lost datagram.
	maxRoundTrip = 200 * time.Millisecond
	// roundTripQuantile is the quantile of the samples that the estimate follows. Busy
	// processes delay many of them, and a regular report may arrive just after a request.
	roundTripQuantile = 0.25
	// roundTripStep is the largest relative change of the estimate by one sample.
	roundTripStep = 1.0 / 16
)

// roundTripTime estimates the round-trip time to the agents of a failure domain from the time until
// requested reports arrive.
type roundTripTime struct{ estimate time.Duration }

func (t *roundTripTime) add(sample time.Duration) {
	switch step := float64(t.estimate) * roundTripStep; {
	case sample <= 0 || sample > maxRoundTrip:
	case t.estimate == 0:
		t.estimate = sample
	case sample < t.estimate:
		t.estimate -= time.Duration((1 - roundTripQuantile) * step)
	default:
		t.estimate += time.Duration(roundTripQuantile * step)
	}
}

// roundTripTo returns the estimate for a failure domain.
func (r *Router) roundTripTo(domain string) *roundTripTime {
	t := r.roundTrips[domain]
	if t == nil {
		t = &roundTripTime{}
		r.roundTrips[domain] = t
	}
	return t
}

// measureRoundTrip records the arrival of a report, which may have been requested.
func (r *Router) measureRoundTrip(e *entry, arrivedAt time.Duration) {
	if e.requestedAt > e.ReportedAt && arrivedAt > e.requestedAt {
		r.roundTripTo(e.Domain).add(arrivedAt - e.requestedAt)
	}
}

// detour returns the time that a request takes longer by a server's failure domain than by that
// of the balancer: the opening packet and the request each go there one way.
func (r *Router) detour(e *entry) time.Duration {
	return max(0, e.roundTripTime.estimate-r.ownRoundTrip.estimate)
}
