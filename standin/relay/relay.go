package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
	"bergamotbank/standin/link"
)

// relay relays the traffic of one pair of addresses.
type relay struct {
	pair     Pair
	faults   *fault.Switches[Faults]
	counters *counters
	// generation grows each time all existing connections are blackholed.
	generation atomic.Int64
	tcp        net.Listener
	udp        *net.UDPConn
	queue      [directionCount]*link.Queue

	mu       sync.Mutex
	schedule *link.Schedule
	sessions map[netip.AddrPort]*session
}

func newRelay(ctx context.Context, pair Pair, faults *fault.Switches[Faults], counts *counters, seed uint64) (*relay, error) {
	listenConfig := net.ListenConfig{}
	tcp, err := listenConfig.Listen(ctx, "tcp", pair.Listen.String())
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "listen on %s", pair.Listen)
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(pair.Listen))
	if err != nil {
		_ = tcp.Close()
		return nil, errkind.Wrap(err, errkind.Usage, "listen on %s", pair.Listen)
	}
	r := &relay{
		pair:     pair,
		faults:   faults,
		counters: counts,
		tcp:      tcp,
		udp:      udp,
		schedule: link.NewSchedule(seed),
		sessions: make(map[netip.AddrPort]*session),
	}
	dropped := func() { counts.dropped.Add(1) }
	r.queue[toTarget] = link.NewQueue(r.sendToTarget, dropped)
	r.queue[fromTarget] = link.NewQueue(r.sendFromTarget, dropped)
	generation := 0
	faults.OnChange(func(f Faults) {
		next := f.forListen(pair.Listen).BlackholeGeneration
		if next > generation {
			r.generation.Add(1)
		}
		generation = next
	})
	return r, nil
}

// run relays traffic until ctx is done.
func (r *relay) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = r.tcp.Close()
		_ = r.udp.Close()
		r.closeSessions()
	})
	defer stop()
	for _, queue := range r.queue {
		go queue.Run(ctx)
	}
	go r.receiveUDP()
	r.accept(ctx)
}

func (r *relay) current() Faults {
	return r.faults.Get().forListen(r.pair.Listen)
}

// drawDelivery determines how often a datagram is sent, from 0 to 2, and when. The
// zero time means without delay.
func (r *relay) drawDelivery(l *link.Link, pair link.Pair) (copies int, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.schedule.Sample(l.LossRate) {
		return 0, due
	}
	copies = 1
	if r.schedule.Sample(l.DuplicateRate) {
		copies = 2
	}
	return copies, r.schedule.Due(l, pair, time.Now())
}
