package link

import (
	"container/heap"
	"context"
	"net/netip"
	"time"
)

const (
	// incomingPackets is the capacity of the channel to the delay queue.
	incomingPackets = 4096
	// MaxQueuedPackets limits the number of packets that wait for their due time.
	MaxQueuedPackets = 1 << 16
)

// DelayedPacket is a packet that is sent at a later time.
type DelayedPacket struct {
	Due      time.Time
	To       netip.AddrPort
	Payload  []byte
	sequence uint64
}

// delayHeap orders packets by due time and then by arrival.
type delayHeap []*DelayedPacket

func (h delayHeap) Len() int { return len(h) }

func (h delayHeap) Less(i, j int) bool {
	if h[i].Due.Equal(h[j].Due) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].Due.Before(h[j].Due)
}

func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a packet; container/heap calls it.
func (h *delayHeap) Push(x any) { *h = append(*h, x.(*DelayedPacket)) }

// Pop removes the last packet; container/heap calls it.
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// Queue sends packets at their due times.
type Queue struct {
	incoming     chan *DelayedPacket
	pending      delayHeap
	send         func([]*DelayedPacket)
	overflow     func()
	lastSequence uint64
}

// NewQueue returns a queue that passes packets to send when they are due and calls
// overflow for each packet that it drops.
func NewQueue(send func([]*DelayedPacket), overflow func()) *Queue {
	return &Queue{incoming: make(chan *DelayedPacket, incomingPackets), send: send, overflow: overflow}
}

// Offer adds a packet without blocking and reports whether the queue accepted it.
func (q *Queue) Offer(packet *DelayedPacket) bool {
	select {
	case q.incoming <- packet:
		return true
	default:
		return false
	}
}

// Run sends packets until ctx is done.
func (q *Queue) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case packet := <-q.incoming:
			q.add(packet)
			q.drainIncoming()
		case <-timer.C:
		}
		next := q.flush(time.Now())
		timer.Reset(next)
	}
}

// drainIncoming adds the packets that the channel holds.
func (q *Queue) drainIncoming() {
	for range len(q.incoming) {
		q.add(<-q.incoming)
	}
}

func (q *Queue) add(packet *DelayedPacket) {
	if len(q.pending) >= MaxQueuedPackets {
		q.overflow()
		return
	}
	q.lastSequence++
	packet.sequence = q.lastSequence
	heap.Push(&q.pending, packet)
}

// flush sends the packets that are due and returns the time until the next one.
func (q *Queue) flush(now time.Time) time.Duration {
	var due []*DelayedPacket
	for len(q.pending) > 0 && !q.pending[0].Due.After(now) {
		due = append(due, heap.Pop(&q.pending).(*DelayedPacket))
	}
	if len(due) > 0 {
		q.send(due)
	}
	if len(q.pending) == 0 {
		return time.Hour
	}
	return q.pending[0].Due.Sub(now)
}
