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
	rounds      = 5
	roundLength = 400 * time.Millisecond
	payloadSize = 400 // bytes
	benchAgents = 7
)

// bench is a load generator and a set of sinks in place of agents.
type bench struct {
	// packets and writer are what the sender sends in each round.
	packets [][]byte
	writer  *datagram.Writer
	sinks   []netip.AddrPort
	got     atomic.Uint64
	conns   []*datagram.Conn
	wg      sync.WaitGroup
}

func newBench(b *testing.B) *bench {
	s := &bench{writer: datagram.NewWriter()}
	for i := range datagram.BatchSize {
		s.packets = append(s.packets, tcpPacket(uint16(i+1), service, payloadSize))
	}
	for range benchAgents {
		c := s.open(b)
		s.sinks = append(s.sinks, c.Addr())
		s.wg.Go(func() { s.drain(c) })
	}
	b.Cleanup(func() {
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.wg.Wait()
	})
	return s
}

func (s *bench) open(b *testing.B) *datagram.Conn {
	c, err := datagram.Listen(loopback, false)
	if err != nil {
		b.Fatal(err)
	}
	s.conns = append(s.conns, c)
	return c
}

func (s *bench) drain(c *datagram.Conn) {
	reader := c.NewReader()
	for {
		n, err := reader.Read()
		if err != nil {
			return
		}
		s.got.Add(uint64(n))
	}
}

// relay forwards every datagram to the sinks in turn, and does nothing else.
func (s *bench) relay(in, out *datagram.Conn) {
	reader := in.NewReader()
	writer := datagram.NewWriter()
	turn := 0
	for {
		n, err := reader.Read()
		if err != nil {
			return
		}
		for i := range n {
			turn = (turn + 1) % len(s.sinks)
			writer.Add(reader.Datagram(i), s.sinks[turn])
		}
		writer.Flush(out)
	}
}

// rate returns the packets a second that arrive while one sender sends as fast
// as it can.
func (s *bench) rate(from *datagram.Conn, to netip.AddrPort) float64 {
	before := s.got.Load()
	start := time.Now()
	for time.Since(start) < roundLength {
		for _, p := range s.packets {
			s.writer.Add(p, to)
		}
		s.writer.Flush(from)
	}
	return float64(s.got.Load()-before) / time.Since(start).Seconds()
}

// BenchmarkForward measures the forwarder and a bare relay in turns.
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

	var ratios, rates, relayed []float64
	var allocs float64
	for range rounds {
		bare := s.rate(sender, in.Addr())
		before, forwarded := mallocs(), f.Counters().Forwarded
		rate := s.rate(sender, f.Addr())
		allocs = float64(mallocs()-before) / float64(f.Counters().Forwarded-forwarded)
		ratios = append(ratios, rate/bare)
		rates = append(rates, rate)
		relayed = append(relayed, bare)
	}
	fmt.Printf("bench forward_bare_relay %.0f packets/s\n", median(relayed))
	fmt.Printf("bench forward_balancer %.0f packets/s\n", median(rates))
	fmt.Printf("bench forward_balancer_over_bare_relay %.3f ratio\n", median(ratios))
	fmt.Printf("bench forward_balancer_over_bare_relay_least %.3f ratio\n", slices.Min(ratios))
	fmt.Printf("bench forward_allocations_per_packet %.4f allocs\n", allocs)
}

// BenchmarkForwardCost measures the time that reading, deciding and writing take
// for a packet, beside reading and writing alone, in turns on one goroutine. The
// time to send packets in and to drain the sinks does not count.
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
	step := &stepper{in: s.open(b), out: s.open(b), sender: s.open(b), sinks: s.sinks}
	step.reader, step.writer = step.in.NewReader(), datagram.NewWriter()
	for i := range datagram.BatchSize {
		step.packets = append(step.packets, tcpPacket(uint16(i+1), service, payloadSize))
	}
	var bare, balancer, ratios []float64
	for range rounds {
		alone := step.cost(b, step.relay)
		whole := step.cost(b, func(n int) { f.ForwardBatch(step.reader, step.writer, n, step.out) })
		bare = append(bare, alone)
		balancer = append(balancer, whole)
		ratios = append(ratios, alone/whole)
	}
	fmt.Printf("bench forward_cost_bare_relay %.0f ns/packet\n", median(bare))
	fmt.Printf("bench forward_cost_balancer %.0f ns/packet\n", median(balancer))
	fmt.Printf("bench forward_cost_bare_relay_over_balancer %.3f ratio\n", median(ratios))
	fmt.Printf("bench forward_cost_bare_relay_over_balancer_least %.3f ratio\n", slices.Min(ratios))
}

// stepper moves one batch after the other through a relay.
type stepper struct {
	in, out, sender *datagram.Conn
	sinks           []netip.AddrPort
	packets         [][]byte
	reader          *datagram.Reader
	writer          *datagram.Writer
}

// relay writes the n datagrams of the last read to the sinks as they are.
func (s *stepper) relay(n int) {
	for i := range n {
		s.writer.Add(s.reader.Datagram(i), s.sinks[i%len(s.sinks)])
	}
	s.writer.Flush(s.out)
}

// cost returns the time in ns that a packet takes from read to write.
func (s *stepper) cost(b *testing.B, move func(n int)) float64 {
	const batches = 4000
	feed := datagram.NewWriter()
	var spent time.Duration
	moved := 0
	for range batches {
		for _, p := range s.packets {
			feed.Add(p, s.in.Addr())
		}
		feed.Flush(s.sender)
		start := time.Now()
		n, err := s.reader.Read()
		if err != nil {
			b.Fatal(err)
		}
		move(n)
		spent += time.Since(start)
		moved += n
	}
	return float64(spent.Nanoseconds()) / float64(moved)
}

// BenchmarkRoute measures the decision for one packet with its header.
func BenchmarkRoute(b *testing.B) {
	var servers []steering.Server
	for i := range 1000 {
		addr := netip.AddrPortFrom(loopback.Addr(), uint16(i+1))
		servers = append(servers, serverAt(fmt.Sprintf("server-%d", i), addr))
	}
	plane := forward.NewTable(nil, 1, []forward.ServiceInput{{Address: service, Servers: servers}}, time.Now())
	packet, out := tcpPacket(1, service, payloadSize), make([]byte, datagram.Headroom)
	var packets int
	start := time.Now()
	for b.Loop() {
		plane.Route(packet, out)
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
