package link

import (
	"container/heap"
	"context"
	"net/netip"
	"time"
)

const (
	// delayChannelPackets bounds the packets on their way to the delay queue.
	delayChannelPackets = 4096
	// MaxWaiting bounds the packets that wait for their time.
	MaxWaiting = 1 << 16
)

// Delayed is a packet that is sent at a later time.
type Delayed struct {
	Due     time.Time
	To      netip.AddrPort
	Payload []byte
	order   uint64
}

// delayHeap orders packets by due time and then by arrival.
type delayHeap []*Delayed

func (h delayHeap) Len() int { return len(h) }

func (h delayHeap) Less(i, j int) bool {
	if h[i].Due.Equal(h[j].Due) {
		return h[i].order < h[j].order
	}
	return h[i].Due.Before(h[j].Due)
}

func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a packet; container/heap calls it.
func (h *delayHeap) Push(x any) { *h = append(*h, x.(*Delayed)) }

// Pop removes the last packet; container/heap calls it.
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// Queue sends packets when their time has come.
type Queue struct {
	in       chan *Delayed
	waiting  delayHeap
	send     func([]*Delayed)
	overflow func()
	order    uint64
}

// NewQueue returns a queue that hands packets to send when they are due and calls
// overflow for each packet that it drops.
func NewQueue(send func([]*Delayed), overflow func()) *Queue {
	return &Queue{in: make(chan *Delayed, delayChannelPackets), send: send, overflow: overflow}
}

// Offer adds a packet without blocking and tells whether there was room.
func (q *Queue) Offer(packet *Delayed) bool {
	select {
	case q.in <- packet:
		return true
	default:
		return false
	}
}

// Run sends packets until ctx ends.
func (q *Queue) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case packet := <-q.in:
			q.add(packet)
			q.addAll()
		case <-timer.C:
		}
		next := q.flush(time.Now())
		timer.Reset(next)
	}
}

// addAll takes what else has arrived.
func (q *Queue) addAll() {
	for range len(q.in) {
		q.add(<-q.in)
	}
}

func (q *Queue) add(packet *Delayed) {
	if len(q.waiting) >= MaxWaiting {
		q.overflow()
		return
	}
	q.order++
	packet.order = q.order
	heap.Push(&q.waiting, packet)
}

// flush sends what is due and returns the time until the next packet is.
func (q *Queue) flush(now time.Time) time.Duration {
	var due []*Delayed
	for len(q.waiting) > 0 && !q.waiting[0].Due.After(now) {
		due = append(due, heap.Pop(&q.waiting).(*Delayed))
	}
	if len(due) > 0 {
		q.send(due)
	}
	if len(q.waiting) == 0 {
		return time.Hour
	}
	return q.waiting[0].Due.Sub(now)
}
