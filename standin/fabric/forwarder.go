package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/ipv4"

	"bergamotbank/errkind"
	"bergamotbank/standin/link"
)

const (
	batchPackets = 64
	// packetBytes is the largest datagram that is passed on.
	packetBytes = 9216
	// socketBufferBytes is the size asked for the socket's buffers.
	socketBufferBytes = 8 << 20
)

// forwarder moves packets between one UDP socket and balancers, agents and
// callers. One goroutine reads and decides, another sends delayed packets.
type forwarder struct {
	conn     *net.UDPConn
	batch    *ipv4.PacketConn
	router   *router
	schedule *link.Schedule
	pool     *pool
	network  atomic.Pointer[network]
	counters *counters
	traffic  *traffic
	queue    *link.Queue
	out      []ipv4.Message
	toAddrs  map[netip.AddrPort]*net.UDPAddr
	log      *zap.Logger
}

func newForwarder(listen netip.AddrPort, services netip.Prefix, seed uint64, p *pool, log *zap.Logger) (*forwarder, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "listen on %s", listen)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	f := &forwarder{
		conn:     conn,
		batch:    ipv4.NewPacketConn(conn),
		router:   newRouter(services, seed),
		schedule: link.NewSchedule(seed),
		pool:     p,
		counters: &counters{},
		traffic:  newTraffic(),
		out:      make([]ipv4.Message, 0, 2*batchPackets),
		toAddrs:  make(map[netip.AddrPort]*net.UDPAddr),
		log:      log,
	}
	f.network.Store(newNetwork(Topology{}))
	f.queue = link.NewQueue(f.sendDelayed, func() { f.counters.add(verdictOverflow) })
	return f, nil
}

// run forwards until ctx ends.
func (f *forwarder) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.conn.Close() })
	defer stop()
	go f.queue.Run(ctx)
	messages := newMessages()
	for {
		n, err := f.batch.ReadBatch(messages, 0)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "read packets")
		}
		f.handleBatch(messages[:n])
	}
}

func newMessages() []ipv4.Message {
	messages := make([]ipv4.Message, batchPackets)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, packetBytes)}
	}
	return messages
}

func (f *forwarder) handleBatch(messages []ipv4.Message) {
	now := time.Now()
	targets := f.pool.targets()
	net := f.network.Load()
	f.out = f.out[:0]
	f.traffic.mu.Lock()
	for i := range messages {
		f.handle(&messages[i], targets, net, now)
	}
	f.traffic.mu.Unlock()
	f.write(f.out)
}

func (f *forwarder) handle(message *ipv4.Message, targets []netip.AddrPort, network *network, now time.Time) {
	udp, ok := message.Addr.(*net.UDPAddr)
	if !ok {
		return
	}
	from := udp.AddrPort()
	packet := message.Buffers[0][:message.N]
	to, v := f.router.route(packet, from, targets)
	if v != verdictForward {
		f.counters.add(v)
		return
	}
	f.traffic.count(from, to, now)
	if network.plain {
		f.emit(packet, to)
		return
	}
	f.pass(packet, link.Pair{From: from, To: to}, network, now)
	if !f.schedule.Hit(network.fork) {
		return
	}
	if second, ok := f.router.other(to, targets); ok {
		f.counters.forked.Add(1)
		f.traffic.count(from, second, now)
		f.pass(packet, link.Pair{From: from, To: second}, network, now)
	}
}

// pass applies blocks and the link between two addresses.
func (f *forwarder) pass(packet []byte, pair link.Pair, network *network, now time.Time) {
	if network.blocked[pair] {
		f.counters.add(verdictBlocked)
		return
	}
	l := network.link(pair)
	switch {
	case l.Cut:
		f.counters.add(verdictCut)
		return
	case f.schedule.Hit(l.Loss):
		f.counters.add(verdictLost)
		return
	}
	f.emitOn(packet, pair, l, now)
	if f.schedule.Hit(l.Duplicate) {
		f.counters.duplicated.Add(1)
		f.emitOn(packet, pair, l, now)
	}
}

func (f *forwarder) emitOn(packet []byte, pair link.Pair, l *link.Link, now time.Time) {
	due := f.schedule.Due(l, pair, now)
	if due.IsZero() {
		f.emit(packet, pair.To)
		return
	}
	payload := append([]byte(nil), packet...)
	if !f.queue.Offer(&link.Delayed{Due: due, To: pair.To, Payload: payload}) {
		f.counters.add(verdictOverflow)
	}
}

// emit adds a packet to the batch that is written next.
func (f *forwarder) emit(packet []byte, to netip.AddrPort) {
	f.out = append(f.out, ipv4.Message{Buffers: [][]byte{packet}, Addr: f.udpAddr(to)})
}

// udpAddr returns the form of an address that the socket takes, made once.
func (f *forwarder) udpAddr(to netip.AddrPort) *net.UDPAddr {
	address, ok := f.toAddrs[to]
	if !ok {
		address = net.UDPAddrFromAddrPort(to)
		f.toAddrs[to] = address
	}
	return address
}

// sendDelayed writes packets whose time has come. It runs on the goroutine of
// the delay queue.
func (f *forwarder) sendDelayed(packets []*link.Delayed) {
	messages := make([]ipv4.Message, 0, len(packets))
	for _, packet := range packets {
		messages = append(messages, ipv4.Message{
			Buffers: [][]byte{packet.Payload},
			Addr:    net.UDPAddrFromAddrPort(packet.To),
		})
	}
	f.write(messages)
}

// write sends messages. One that cannot be sent is counted and skipped.
func (f *forwarder) write(messages []ipv4.Message) {
	for len(messages) > 0 {
		n, err := f.batch.WriteBatch(messages, 0)
		if err != nil || n == 0 {
			f.counters.writeErrors.Add(1)
			n = 1
		} else {
			f.counters.verdicts[verdictForward].Add(uint64(n))
		}
		messages = messages[n:]
	}
}
