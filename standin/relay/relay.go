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

// relay serves one pair of addresses.
type relay struct {
	pair   Pair
	faults *fault.Switches[Faults]
	counts *counters
	// epoch grows each time everything open goes silent.
	epoch atomic.Int64
	tcp   net.Listener
	udp   *net.UDPConn
	queue [directionCount]*link.Queue

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
		counts:   counts,
		tcp:      tcp,
		udp:      udp,
		schedule: link.NewSchedule(seed),
		sessions: make(map[netip.AddrPort]*session),
	}
	dropped := func() { counts.dropped.Add(1) }
	r.queue[toTarget] = link.NewQueue(r.sendToTarget, dropped)
	r.queue[fromTarget] = link.NewQueue(r.sendFromTarget, dropped)
	silence := 0
	faults.OnChange(func(f Faults) {
		grown := f.about(pair.Listen).Silence
		if grown > silence {
			r.epoch.Add(1)
		}
		silence = grown
	})
	return r, nil
}

// run relays until ctx ends.
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
	return r.faults.Get().about(r.pair.Listen)
}

// due draws what becomes of a datagram: how often it is sent, and when. A zero
// time means at once.
func (r *relay) due(l *link.Link, pair link.Pair) (copies int, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.schedule.Hit(l.Loss) {
		return 0, due
	}
	copies = 1
	if r.schedule.Hit(l.Duplicate) {
		copies = 2
	}
	return copies, r.schedule.Due(l, pair, time.Now())
}
