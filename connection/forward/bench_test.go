package forward_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotbank/connection/datagram"
	"bergamotbank/connection/forward"
	"bergamotbank/version/steering"
)

const (
	rounds        = 5
	roundDuration = 400 * time.Millisecond
	payloadSize   = 400 // bytes
	benchAgents   = 7
)

// benchSetup is a load generator and a set of sinks in place of agents.
type benchSetup struct {
	// packets are sent in each round through writer.
	packets  [][]byte
	writer   *datagram.Writer
	sinks    []netip.AddrPort
	received atomic.Uint64
	conns    []*datagram.Conn
	wg       sync.WaitGroup
}

func newBench(b *testing.B) *benchSetup {
	s := &benchSetup{writer: datagram.NewWriter()}
	for i := range datagram.BatchSize {
		s.packets = append(s.packets, tcpPacket(uint16(i+1), service, payloadSize))
	}
	for range benchAgents {
		c := s.open(b)
		s.sinks = append(s.sinks, c.Addr())
		s.wg.Go(func() { s.discard(c) })
	}
	b.Cleanup(func() {
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.wg.Wait()
	})
	return s
}

func (s *benchSetup) open(b *testing.B) *datagram.Conn {
	c, err := datagram.Listen(loopback, false)
	if err != nil {
		b.Fatal(err)
	}
	s.conns = append(s.conns, c)
	return c
}

func (s *benchSetup) discard(c *datagram.Conn) {
	reader := c.NewReader()
	for {
		n, err := reader.Read()
		if err != nil {
			return
		}
		s.received.Add(uint64(n))
	}
}

// relay forwards datagrams unchanged to the sinks in rotation. It is the baseline
// for the forwarder.
func (s *benchSetup) relay(in, out *datagram.Conn) {
	reader := in.NewReader()
	writer := datagram.NewWriter()
	next := 0
	for {
		n, err := reader.Read()
		if err != nil {
			return
		}
		for i := range n {
			next = (next + 1) % len(s.sinks)
			writer.Add(reader.Datagram(i), s.sinks[next])
		}
		writer.Flush(out)
	}
}

// throughput returns the packets per second that arrive while one sender sends at
// full speed.
func (s *benchSetup) throughput(from *datagram.Conn, to netip.AddrPort) float64 {
	before := s.received.Load()
	start := time.Now()
	for time.Since(start) < roundDuration {
		for _, p := range s.packets {
			s.writer.Add(p, to)
		}
		s.writer.Flush(from)
	}
	return float64(s.received.Load()-before) / time.Since(start).Seconds()
}

// BenchmarkForward measures the throughput of the forwarder and of a relay that
// forwards datagrams unchanged, alternately.
func BenchmarkForward(b *testing.B) {
	for b.Loop() {
	}
	s := newBench(b)
	f := start(b, 1)
	servers := make([]steering.Server, len(s.sinks))
	for i, addr := range s.sinks {
		servers[i] = serverAt(fmt.Sprintf("server-%d", i), addr)
	}
	f.SetTable(forward.NewTable(nil, 1, []forward.ServiceInput{{Address: service, Servers: servers}}, time.Now()))
	in, out, sender := s.open(b), s.open(b), s.open(b)
	s.wg.Go(func() { s.relay(in, out) })

	var ratios, rates, relayRates []float64
	var allocs float64
	for range rounds {
		relayRate := s.throughput(sender, in.Addr())
		before, forwarded := mallocs(), f.Counters().Forwarded
		rate := s.throughput(sender, f.Addr())
		allocs = float64(mallocs()-before) / float64(f.Counters().Forwarded-forwarded)
		ratios = append(ratios, rate/relayRate)
		rates = append(rates, rate)
		relayRates = append(relayRates, relayRate)
	}
	fmt.Printf("bench forward_bare_relay %.0f packets/s\n", median(relayRates))
	fmt.Printf("bench forward_balancer %.0f packets/s\n", median(rates))
	fmt.Printf("bench forward_balancer_over_bare_relay %.3f ratio\n", median(ratios))
	fmt.Printf("bench forward_balancer_over_bare_relay_least %.3f ratio\n", slices.Min(ratios))
	fmt.Printf("bench forward_allocations_per_packet %.4f allocs\n", allocs)
}

// BenchmarkForwardCost measures the time per packet that the forwarder takes to
// read, route and write, and the time that reading and writing alone take,
// alternately on one goroutine. The time to send the packets and to read them at
// the sinks is not included.
func BenchmarkForwardCost(b *testing.B) {
	for b.Loop() {
	}
	s := newBench(b)
	f := start(b, 1)
	servers := make([]steering.Server, len(s.sinks))
	for i, addr := range s.sinks {
		servers[i] = serverAt(fmt.Sprintf("server-%d", i), addr)
	}
	f.SetTable(forward.NewTable(nil, 1, []forward.ServiceInput{{Address: service, Servers: servers}}, time.Now()))
	batch := &batchRelay{in: s.open(b), out: s.open(b), sender: s.open(b), sinks: s.sinks}
	batch.reader, batch.writer = batch.in.NewReader(), datagram.NewWriter()
	for i := range datagram.BatchSize {
		batch.packets = append(batch.packets, tcpPacket(uint16(i+1), service, payloadSize))
	}
	var relayCosts, balancerCosts, ratios []float64
	for range rounds {
		relayCost := batch.costPerPacket(b, batch.relay)
		balancerCost := batch.costPerPacket(b, func(n int) { f.ForwardBatch(batch.reader, batch.writer, n, batch.out) })
		relayCosts = append(relayCosts, relayCost)
		balancerCosts = append(balancerCosts, balancerCost)
		ratios = append(ratios, relayCost/balancerCost)
	}
	fmt.Printf("bench forward_cost_bare_relay %.0f ns/packet\n", median(relayCosts))
	fmt.Printf("bench forward_cost_balancer %.0f ns/packet\n", median(balancerCosts))
	fmt.Printf("bench forward_cost_bare_relay_over_balancer %.3f ratio\n", median(ratios))
	fmt.Printf("bench forward_cost_bare_relay_over_balancer_least %.3f ratio\n", slices.Min(ratios))
}

// batchRelay sends batches of packets through a relay or a forwarder, one at a
// time.
type batchRelay struct {
	in, out, sender *datagram.Conn
	sinks           []netip.AddrPort
	packets         [][]byte
	reader          *datagram.Reader
	writer          *datagram.Writer
}

// relay writes the n datagrams of the last read unchanged to the sinks.
func (s *batchRelay) relay(n int) {
	for i := range n {
		s.writer.Add(s.reader.Datagram(i), s.sinks[i%len(s.sinks)])
	}
	s.writer.Flush(s.out)
}

// costPerPacket returns the time in nanoseconds that forwardBatch takes per packet,
// including the read.
func (s *batchRelay) costPerPacket(b *testing.B, forwardBatch func(n int)) float64 {
	const batches = 4000
	generator := datagram.NewWriter()
	var elapsed time.Duration
	forwarded := 0
	for range batches {
		for _, p := range s.packets {
			generator.Add(p, s.in.Addr())
		}
		generator.Flush(s.sender)
		start := time.Now()
		n, err := s.reader.Read()
		if err != nil {
			b.Fatal(err)
		}
		forwardBatch(n)
		elapsed += time.Since(start)
		forwarded += n
	}
	return float64(elapsed.Nanoseconds()) / float64(forwarded)
}

// BenchmarkRoute measures routing one packet and writing its header.
func BenchmarkRoute(b *testing.B) {
	var servers []steering.Server
	for i := range 1000 {
		addr := netip.AddrPortFrom(loopback.Addr(), uint16(i+1))
		servers = append(servers, serverAt(fmt.Sprintf("server-%d", i), addr))
	}
	table := forward.NewTable(nil, 1, []forward.ServiceInput{{Address: service, Servers: servers}}, time.Now())
	packet, out := tcpPacket(1, service, payloadSize), make([]byte, datagram.Headroom)
	var packets int
	start := time.Now()
	for b.Loop() {
		table.Route(packet, out)
		packets++
	}
	fmt.Printf("bench forward_decision %.1f ns\n", float64(time.Since(start).Nanoseconds())/float64(packets))
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}
