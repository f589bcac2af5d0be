package flows

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bergamotbank/connection/encap"
)

const (
	// ByteRate is the sustained rate limit of registration traffic, in bytes per
	// second.
	ByteRate = 4 << 10
	// ByteBurst is the burst size of registration traffic, in bytes.
	ByteBurst = 64 << 10

	// maxQueued is the maximum number of queued hashes.
	maxQueued = 1 << 17

	encapHeaderBytes = 20 // with one address
	bytesPerHash     = 8
	ipUDPHeaderBytes = 28
)

// Message is a registration or release to send to another agent.
type Message struct {
	// To is the agent to send it to.
	To netip.AddrPort
	// Kind is encap.KindRegistration or encap.KindRelease.
	Kind encap.Kind
	// Hashes are the hashes of the flows, at most encap.MaxHashes.
	Hashes []uint64
}

// queueKey is the destination and kind of queued hashes.
type queueKey struct {
	to   netip.AddrPort
	kind encap.Kind
}

// outbox batches flow hashes into messages and limits their byte rate with a token
// bucket.
type outbox struct {
	queues map[queueKey][]uint64
	// order holds the keys of queues in the order in which they are sent.
	order      []queueKey
	queued     int
	tokens     float64 // bytes
	refilledAt time.Time
}

func newOutbox() outbox {
	return outbox{queues: make(map[queueKey][]uint64), tokens: ByteBurst}
}

// add queues a hash, or drops it if the queue is full. The next refresh of the
// flow queues it again.
func (o *outbox) add(to netip.AddrPort, kind encap.Kind, hash uint64) {
	if o.queued >= maxQueued {
		return
	}
	key := queueKey{to: to, kind: kind}
	if _, ok := o.queues[key]; !ok {
		o.order = append(o.order, key)
	}
	o.queues[key] = append(o.queues[key], hash)
	o.queued++
}

// sort makes the messages independent of the iteration order of the flow table.
// Releases are sent first, because a new flow may have the hash of a closed one.
func (o *outbox) sort() {
	slices.SortFunc(o.order, func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(b.kind, a.kind), a.to.Compare(b.to))
	})
	for _, hashes := range o.queues {
		slices.Sort(hashes)
	}
}

// drain returns the queued messages that the rate limit allows.
func (o *outbox) drain(now time.Time) []Message {
	o.refill(now)
	o.sort()
	var messages []Message
	for len(o.order) > 0 && o.tokens > 0 {
		key := o.order[0]
		hashes := o.queues[key]
		n := min(len(hashes), encap.MaxHashes)
		messages = append(messages, Message{To: key.to, Kind: key.kind, Hashes: hashes[:n:n]})
		o.tokens -= float64(ipUDPHeaderBytes + encapHeaderBytes + n*bytesPerHash)
		o.queued -= n
		o.order = o.order[1:]
		if n == len(hashes) {
			delete(o.queues, key)
			continue
		}
		o.queues[key] = hashes[n:]
		o.order = append(o.order, key)
	}
	return messages
}

func (o *outbox) refill(now time.Time) {
	if !o.refilledAt.IsZero() {
		o.tokens += now.Sub(o.refilledAt).Seconds() * ByteRate
	}
	o.tokens = min(o.tokens, ByteBurst)
	o.refilledAt = now
}
