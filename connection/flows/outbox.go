package flows

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bergamotbank/connection/encap"
)

const (
	// ByteRate is the lasting rate of registration traffic, in bytes a second.
	ByteRate = 4 << 10
	// ByteBurst is the registration traffic that may be sent at once, in bytes.
	ByteBurst = 64 << 10

	maxQueued     = 1 << 17
	messageBytes  = 20 // bytes of header with one address
	bytesPerHash  = 8
	datagramBytes = 28 // bytes of IP and UDP headers
)

// Message is a registration or release to send to another agent.
type Message struct {
	// To is the agent to send it to.
	To netip.AddrPort
	// Kind is encap.KindRegistration or encap.KindRelease.
	Kind encap.Kind
	// Hashes are the flow hashes concerned, at most encap.MaxHashes.
	Hashes []uint64
}

// queueKey is a destination and kind of queued hashes.
type queueKey struct {
	to   netip.AddrPort
	kind encap.Kind
}

// outbox gathers flow hashes into messages under a byte budget.
type outbox struct {
	queues map[queueKey][]uint64
	// order holds the keys of queues.
	order  []queueKey
	queued int
	budget float64 // bytes
	filled time.Time
}

func newOutbox() outbox {
	return outbox{queues: make(map[queueKey][]uint64), budget: ByteBurst}
}

// add queues a hash. Beyond the bound it is left to the next refresh.
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

// sort makes the messages independent of the order in which flows were walked.
// Releases go first, as a new flow may have the hash of an ended one.
func (o *outbox) sort() {
	slices.SortFunc(o.order, func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(b.kind, a.kind), a.to.Compare(b.to))
	})
	for _, hashes := range o.queues {
		slices.Sort(hashes)
	}
}

// drain returns the messages that the budget allows.
func (o *outbox) drain(now time.Time) []Message {
	o.refill(now)
	o.sort()
	var messages []Message
	for len(o.order) > 0 && o.budget > 0 {
		key := o.order[0]
		hashes := o.queues[key]
		n := min(len(hashes), encap.MaxHashes)
		messages = append(messages, Message{To: key.to, Kind: key.kind, Hashes: hashes[:n:n]})
		o.budget -= float64(datagramBytes + messageBytes + n*bytesPerHash)
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
	if !o.filled.IsZero() {
		o.budget += now.Sub(o.filled).Seconds() * ByteRate
	}
	o.budget = min(o.budget, ByteBurst)
	o.filled = now
}
