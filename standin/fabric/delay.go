package fabric

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// delayChannelPackets bounds the packets on their way to the delay queue.
	delayChannelPackets = 4096
	// delayQueuePackets bounds the packets that wait for their time.
	delayQueuePackets = 1 << 16
	// defaultReorderDelay is the additional delay of packets that others
	// overtake when the link does not say.
	defaultReorderDelay = 5 * time.Millisecond
)

// delayed is a packet that is sent at a later time.
type delayed struct {
	due     time.Time
	order   uint64
	to      netip.AddrPort
	payload []byte
}

// delayHeap orders packets by due time and then by arrival.
type delayHeap []*delayed

func (h delayHeap) Len() int { return len(h) }

func (h delayHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].order < h[j].order
	}
	return h[i].due.Before(h[j].due)
}

func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a packet; container/heap calls it.
func (h *delayHeap) Push(x any) { *h = append(*h, x.(*delayed)) }

// Pop removes the last packet; container/heap calls it.
func (h *delayHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// delayQueue sends packets when their time has come.
type delayQueue struct {
	in       chan *delayed
	waiting  delayHeap
	send     func([]*delayed)
	overflow func()
	order    uint64
}

func newDelayQueue(send func([]*delayed), overflow func()) *delayQueue {
	return &delayQueue{in: make(chan *delayed, delayChannelPackets), send: send, overflow: overflow}
}

// offer adds a packet without blocking and tells whether there was room.
func (q *delayQueue) offer(packet *delayed) bool {
	select {
	case q.in <- packet:
		return true
	default:
		return false
	}
}

// run sends packets until ctx ends.
func (q *delayQueue) run(ctx context.Context) {
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
func (q *delayQueue) addAll() {
	for range len(q.in) {
		q.add(<-q.in)
	}
}

func (q *delayQueue) add(packet *delayed) {
	if len(q.waiting) >= delayQueuePackets {
		q.overflow()
		return
	}
	q.order++
	packet.order = q.order
	heap.Push(&q.waiting, packet)
}

// flush sends what is due and returns the time until the next packet is.
func (q *delayQueue) flush(now time.Time) time.Duration {
	var due []*delayed
	for len(q.waiting) > 0 && !q.waiting[0].due.After(now) {
		due = append(due, heap.Pop(&q.waiting).(*delayed))
	}
	if len(due) > 0 {
		q.send(due)
	}
	if len(q.waiting) == 0 {
		return time.Hour
	}
	return q.waiting[0].due.Sub(now)
}

// schedule draws the delays of packets. It keeps the order of packets between
// two addresses but for those that are drawn for reordering. It is not safe for
// concurrent use.
type schedule struct {
	random *rand.Rand
	last   map[Pair]time.Time
}

func newSchedule(seed uint64) *schedule {
	return &schedule{random: rand.New(rand.NewPCG(seed, seed+1)), last: make(map[Pair]time.Time)}
}

// hit draws with the given share.
func (s *schedule) hit(share float64) bool {
	return share > 0 && s.random.Float64() < share
}

// due returns when a packet arrives. A zero time means at once.
func (s *schedule) due(link *Link, pair Pair, now time.Time) time.Time {
	if link.Delay == 0 && link.Variation == 0 && link.Reorder == 0 {
		return time.Time{}
	}
	due := now.Add(link.Delay.Std())
	if link.Variation > 0 {
		due = due.Add(time.Duration(s.random.Int64N(int64(link.Variation))))
	}
	if s.hit(link.Reorder) {
		return due.Add(reorderDelay(link))
	}
	if last := s.last[pair]; due.Before(last) {
		due = last
	}
	s.last[pair] = due
	return due
}

func reorderDelay(link *Link) time.Duration {
	if link.ReorderDelay > 0 {
		return link.ReorderDelay.Std()
	}
	return defaultReorderDelay
}
