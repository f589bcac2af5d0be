package membership

import "time"

// Timing holds the periods of the membership protocol. A zero field takes the
// value of DefaultTiming.
type Timing struct {
	// Heartbeat is the period of an agent's heartbeats.
	Heartbeat time.Duration
	// HeartbeatTimeout is the time without heartbeats after which a home considers a
	// server silent.
	HeartbeatTimeout time.Duration
	// Probe is the period of a balancer's probes of other balancers.
	Probe time.Duration
	// AckTimeout is the timeout of a direct probe.
	AckTimeout time.Duration
	// Suspicion is the time in which a suspected balancer can refute.
	Suspicion time.Duration
	// Gossip is the period in which changes are pushed to other balancers.
	Gossip time.Duration
	// SilentTTL is the time after which a silent server is replaced by a
	// tombstone.
	SilentTTL time.Duration
	// TombstoneTTL is the time for which the last version of a removed server or a
	// failed balancer is kept.
	TombstoneTTL time.Duration
	// PauseAfter is the time between two ticks or events that counts as a pause of
	// the process.
	PauseAfter time.Duration
	// JoinTimeout is the time after which a balancer whose peers do not reply
	// becomes ready on its own.
	JoinTimeout time.Duration
}

// DefaultTiming returns the production periods.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:        time.Second,
		HeartbeatTimeout: 3500 * time.Millisecond,
		Probe:            time.Second,
		AckTimeout:       300 * time.Millisecond,
		Suspicion:        3 * time.Second,
		Gossip:           200 * time.Millisecond,
		SilentTTL:        time.Minute,
		TombstoneTTL:     10 * time.Minute,
		PauseAfter:       2 * time.Second,
		JoinTimeout:      10 * time.Second,
	}
}

// withDefaults fills the zero fields.
func (t Timing) withDefaults() Timing {
	defaults := DefaultTiming()
	fill := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	fill(&t.Heartbeat, defaults.Heartbeat)
	fill(&t.HeartbeatTimeout, defaults.HeartbeatTimeout)
	fill(&t.Probe, defaults.Probe)
	fill(&t.AckTimeout, defaults.AckTimeout)
	fill(&t.Suspicion, defaults.Suspicion)
	fill(&t.Gossip, defaults.Gossip)
	fill(&t.SilentTTL, defaults.SilentTTL)
	fill(&t.TombstoneTTL, defaults.TombstoneTTL)
	fill(&t.PauseAfter, defaults.PauseAfter)
	fill(&t.JoinTimeout, defaults.JoinTimeout)
	return t
}

// tickPeriod is the period of the cores' ticks.
const tickPeriod = 100 * time.Millisecond
