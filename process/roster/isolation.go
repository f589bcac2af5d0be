package roster

import "time"

const (
	// isolationThreshold is the time without any heartbeat after which a process that knows
	// at least minPeersToNoticeIsolation others assumes that it is cut off itself. It is
	// longer than the shortest interval of reports.
	isolationThreshold        = 400 * time.Millisecond
	minPeersToNoticeIsolation = 4
)

// Isolated reports whether this process has received no heartbeat of any member for so long
// that it is probably cut off itself. It then presumes no member failed: their flows can
// continue through other processes.
func (r *Roster) Isolated(now time.Duration) bool {
	return len(r.peers) >= minPeersToNoticeIsolation && now-r.lastReceived > isolationThreshold
}

// updateIsolation notifies of a change of Isolated.
func (r *Roster) updateIsolation(now time.Duration) {
	if isolated := r.Isolated(now); isolated != r.wasIsolated {
		r.wasIsolated = isolated
		if r.options.OnIsolation != nil {
			r.options.OnIsolation(isolated)
		}
	}
}
