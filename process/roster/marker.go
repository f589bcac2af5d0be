package roster

import (
	"time"

	"bergamotbank/connection/passthrough"
)

const (
	// markerDelay is the time between the sending of a marker and the tick that uses it.
	markerDelay = 50 * time.Millisecond
	// maxUnread is the longest time for which datagrams may wait unread, in case a process
	// cannot send datagrams to itself. A balancer with 0.06 cores was held up for 2.3 s.
	maxUnread = 5 * time.Second
)

// Datagrams can wait unread in the socket while this process is busy or gets no processor
// time, and its ticks may run before they are read. Members are therefore judged as of the
// time until which the datagrams that arrived are known to be handled. To learn it, a process
// that probes members sends itself a marker at each tick, which waits behind all others.

// judgementTime returns the time as of which members are judged: now, or earlier if
// datagrams may wait unread.
func (r *Roster) judgementTime(now time.Duration) time.Duration {
	return min(now, max(r.handledUntil+markerDelay, now-maxUnread))
}

// sendMarker sends a marker to this process.
func (r *Roster) sendMarker(now time.Duration) {
	r.options.Sender.Send(passthrough.AppendMarker(nil, now), r.options.Self().Peer)
}

// HandleMarker handles a datagram of kind Marker.
func (r *Roster) HandleMarker(datagram []byte, now time.Duration) {
	sentAt, err := passthrough.ParseMarker(datagram)
	if err != nil || sentAt > now {
		r.malformed++
		return
	}
	r.handledUntil = max(r.handledUntil, sentAt)
}
