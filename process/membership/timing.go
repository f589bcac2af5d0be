package membership

import "time"

// Timing holds the periods of the membership protocol. A zero field takes the
// value of DefaultTiming.
type Timing struct {
	// Heartbeat is the period of an agent's heartbeats.
	Heartbeat time.Duration
	// SilentAfter is the time without heartbeats after which a home finds a
	// server silent.
	SilentAfter time.Duration
	// Probe is the period of a balancer's probes of other balancers.
	Probe time.Duration
	// AckTimeout is the time that a direct probe may take.
	AckTimeout time.Duration
	// Suspicion is the time that a suspected balancer has to refute.
	Suspicion time.Duration
	// Gossip is the period in which changes are pushed to other balancers.
	Gossip time.Duration
	// ForgetAfter is the time after which a silent server or balancer is
	// forgotten.
	ForgetAfter time.Duration
	// TombstoneLife is the time for which the last version of a forgotten
	// server or balancer is remembered.
	TombstoneLife time.Duration
	// PauseAfter is the gap in the process's own clock ticks that counts as a
	// pause of the process.
	PauseAfter time.Duration
	// JoinTimeout is the time after which a balancer whose peers do not answer
	// serves alone.
	JoinTimeout time.Duration
}

// DefaultTiming returns the periods for production.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:     time.Second,
		SilentAfter:   3500 * time.Millisecond,
		Probe:         time.Second,
		AckTimeout:    300 * time.Millisecond,
		Suspicion:     3 * time.Second,
		Gossip:        200 * time.Millisecond,
		ForgetAfter:   time.Minute,
		TombstoneLife: 10 * time.Minute,
		PauseAfter:    2 * time.Second,
		JoinTimeout:   10 * time.Second,
	}
}

// orDefaults fills the zero fields.
func (t Timing) orDefaults() Timing {
	defaults := DefaultTiming()
	fill := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	fill(&t.Heartbeat, defaults.Heartbeat)
	fill(&t.SilentAfter, defaults.SilentAfter)
	fill(&t.Probe, defaults.Probe)
	fill(&t.AckTimeout, defaults.AckTimeout)
	fill(&t.Suspicion, defaults.Suspicion)
	fill(&t.Gossip, defaults.Gossip)
	fill(&t.ForgetAfter, defaults.ForgetAfter)
	fill(&t.TombstoneLife, defaults.TombstoneLife)
	fill(&t.PauseAfter, defaults.PauseAfter)
	fill(&t.JoinTimeout, defaults.JoinTimeout)
	return t
}

// tickPeriod is the period in which the cores look at the time.
const tickPeriod = 100 * time.Millisecond
