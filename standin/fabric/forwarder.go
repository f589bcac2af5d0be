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
	// packetBytes is the largest datagram that is forwarded.
	packetBytes = 9216
	// socketBufferBytes is the requested size of the socket buffers.
	socketBufferBytes = 8 << 20
)

// forwarder forwards packets between balancers, agents and callers over one UDP
// socket. One goroutine reads and routes packets, another sends delayed packets.
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
	outgoing []ipv4.Message
	udpAddrs map[netip.AddrPort]*net.UDPAddr
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
		outgoing: make([]ipv4.Message, 0, 2*batchPackets),
		udpAddrs: make(map[netip.AddrPort]*net.UDPAddr),
		log:      log,
	}
	f.network.Store(newNetwork(Topology{}))
	f.queue = link.NewQueue(f.sendDelayed, func() { f.counters.add(verdictOverflow) })
	return f, nil
}

// run forwards packets until ctx is done.
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
	f.outgoing = f.outgoing[:0]
	f.traffic.mu.Lock()
	for i := range messages {
		f.handle(&messages[i], targets, net, now)
	}
	f.traffic.mu.Unlock()
	f.write(f.outgoing)
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
	if network.unimpaired {
		f.enqueue(packet, to)
		return
	}
	f.applyImpairments(packet, link.Pair{From: from, To: to}, network, now)
	if !f.schedule.Sample(network.mirrorRate) {
		return
	}
	if second, ok := f.router.otherBalancer(to, targets); ok {
		f.counters.mirrored.Add(1)
		f.traffic.count(from, second, now)
		f.applyImpairments(packet, link.Pair{From: from, To: second}, network, now)
	}
}

// applyImpairments drops, duplicates or delays a packet as the blocked pairs and
// the link between its two addresses demand, and sends what remains.
func (f *forwarder) applyImpairments(packet []byte, pair link.Pair, network *network, now time.Time) {
	if network.blocked[pair] {
		f.counters.add(verdictBlocked)
		return
	}
	l := network.link(pair)
	switch {
	case l.Cut:
		f.counters.add(verdictCut)
		return
	case f.schedule.Sample(l.LossRate):
		f.counters.add(verdictLost)
		return
	}
	f.sendOverLink(packet, pair, l, now)
	if f.schedule.Sample(l.DuplicateRate) {
		f.counters.duplicated.Add(1)
		f.sendOverLink(packet, pair, l, now)
	}
}

func (f *forwarder) sendOverLink(packet []byte, pair link.Pair, l *link.Link, now time.Time) {
	due := f.schedule.Due(l, pair, now)
	if due.IsZero() {
		f.enqueue(packet, pair.To)
		return
	}
	payload := append([]byte(nil), packet...)
	if !f.queue.Offer(&link.DelayedPacket{Due: due, To: pair.To, Payload: payload}) {
		f.counters.add(verdictOverflow)
	}
}

// enqueue adds a packet to the next batch that is written.
func (f *forwarder) enqueue(packet []byte, to netip.AddrPort) {
	f.outgoing = append(f.outgoing, ipv4.Message{Buffers: [][]byte{packet}, Addr: f.udpAddr(to)})
}

// udpAddr returns an address in the form that the socket needs, from a cache.
func (f *forwarder) udpAddr(to netip.AddrPort) *net.UDPAddr {
	address, ok := f.udpAddrs[to]
	if !ok {
		address = net.UDPAddrFromAddrPort(to)
		f.udpAddrs[to] = address
	}
	return address
}

// sendDelayed writes packets whose delay has passed. It runs on the goroutine of
// the delay queue.
func (f *forwarder) sendDelayed(packets []*link.DelayedPacket) {
	messages := make([]ipv4.Message, 0, len(packets))
	for _, packet := range packets {
		messages = append(messages, ipv4.Message{
			Buffers: [][]byte{packet.Payload},
			Addr:    net.UDPAddrFromAddrPort(packet.To),
		})
	}
	f.write(messages)
}

// write sends messages. It counts and skips a message that cannot be sent.
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
