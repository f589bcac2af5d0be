package membership

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bergamotbank/process/membership/membershippb"
)

// serversPerBalancer is the ratio of servers to balancers at the target size.
const serversPerBalancer = 10

// changesPerServer is the number of record changes of a server per second:
// 3,200 replacements a day among 26,000 servers, each with five changes (new,
// cold, warming, warm, draining) and one end.
const changesPerServer = 3200.0 * 6 / 26000 / 86400

// report prints one benchmark result.
func report(name string, value float64, unit string) {
	fmt.Printf("bench %s %.4g %s\n", name, value, unit)
}

// heapBytes returns the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// largeFleetRecord returns the record of a server as decoded from the wire.
func largeFleetRecord(index, services, domains int) Record {
	service := fmt.Sprintf("service-%04d", index%services)
	domain := fmt.Sprintf("failure-domain-%02d", index%domains)
	octets := [4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)}
	addr := netip.AddrFrom4(octets)
	m := recordToWire(Record{
		Server:      fmt.Sprintf("%s-%s-%05d", domain, service, index),
		Incarnation: 1_800_000_000_000 + uint64(index), Sequence: 3,
		Service: service, Domain: domain,
		Packet: netip.AddrPortFrom(addr, 7001), Control: netip.AddrPortFrom(addr, 7000),
		State: Warm, Weight: 100, MinProtocol: 1, MaxProtocol: 1,
	}, statusAlive)
	record, _, _ := recordFromWire(wireRoundTrip(m))
	return record
}

func wireRoundTrip(m *pb.Record) *pb.Record {
	datagram, _ := proto.Marshal(m)
	copied := &pb.Record{}
	_ = proto.Unmarshal(datagram, copied)
	return copied
}

// loadTargetSize returns a core with the state of a fleet of the target size.
func loadTargetSize() *nodeCore {
	const balancers, servers, services, domains = 2600, 26000, 1600, 13
	now := time.Unix(1_800_000_000, 0)
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{11, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	}
	peer := func(i int) Peer {
		return Peer{
			Name: fmt.Sprintf("balancer-%05d", i), Domain: fmt.Sprintf("failure-domain-%02d", i%domains),
			Incarnation: 1_800_000_000_000, Packet: addr(i), Control: addr(i), MinProtocol: 1, MaxProtocol: 1,
		}
	}
	core := newNodeCore(peer(0), nil, Timing{}, rand.New(rand.NewPCG(1, 1)), now)
	for i := 1; i < balancers; i++ {
		core.mergePeer(now, peer(i), statusAlive)
	}
	for i := range servers {
		core.mergeRecord(now, largeFleetRecord(i, services, domains), statusAlive)
	}
	core.gossipQueue = newGossipQueue()
	core.takeActions()
	core.tick(now)
	core.takeActions()
	return core
}

// BenchmarkMemory measures the live heap of a balancer's whole membership state
// with its view, and with a second view while the first is still in use.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		before := heapBytes()
		core := loadTargetSize()
		one := heapBytes()
		old := core.currentView
		core.viewStale = true
		core.tick(core.lastEvent.Add(tickPeriod))
		core.takeActions()
		two := heapBytes()
		report("membership_memory_2600_nodes_26000_servers", float64(one-before)/1e6, "MB")
		report("membership_memory_with_second_view", float64(two-before)/1e6, "MB")
		runtime.KeepAlive(old)
		runtime.KeepAlive(core)
	}
}

// BenchmarkViewAfterChange measures one record change with its new view at the
// target size.
func BenchmarkViewAfterChange(b *testing.B) {
	core := loadTargetSize()
	record := largeFleetRecord(77, 1600, 13)
	now := core.lastEvent
	for b.Loop() {
		record.Sequence++
		core.mergeRecord(now, record, statusAlive)
		core.refreshView()
		core.takeActions()
	}
	report("membership_view_after_change", float64(b.Elapsed().Microseconds())/float64(b.N), "us")
}

// BenchmarkTableAfterChange measures the rebuild of the home table after a change of
// a balancer, with the recomputed homes of all servers, at the target size.
func BenchmarkTableAfterChange(b *testing.B) {
	core := loadTargetSize()
	for b.Loop() {
		core.homeTableStale, core.homeTableBuilt = true, time.Time{}
		core.refreshHomeTable(core.lastEvent)
	}
	report("membership_homes_after_balancer_change", float64(b.Elapsed().Microseconds())/float64(b.N), "us")
}

// BenchmarkHeartbeat measures a heartbeat with its reply at the target size.
func BenchmarkHeartbeat(b *testing.B) {
	core := loadTargetSize()
	record := largeFleetRecord(13, 1600, 13)
	envelope := &pb.Envelope{
		Format: datagramFormat, Sender: record.Server,
		Body: &pb.Envelope_Heartbeat{Heartbeat: &pb.Heartbeat{
			Incarnation: record.Incarnation, Sequence: record.Sequence, Homes: 1, DependsOn: []string{"service-0001"},
		}},
	}
	datagram, _ := encodeEnvelope(envelope)
	now := core.lastEvent
	for b.Loop() {
		decoded, err := decodeEnvelope(datagram)
		if err != nil {
			b.Fatal(err)
		}
		core.handle(now, record.Control, decoded)
		for _, a := range core.takeActions() {
			if send, ok := a.(sendAction); ok {
				_, _ = encodeEnvelope(send.envelope)
			}
		}
	}
	report("membership_heartbeat", float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns")
}

// convergedFleet returns a converged fleet with record changes at the daily rate.
func convergedFleet(balancers int, timing Timing) *fleet {
	f := newFleet(uint64(balancers))
	f.timing = timing
	for i := range balancers {
		f.addNode(fmt.Sprintf("domain-%02d", i%13))
	}
	f.converge()
	for i := range balancers * serversPerBalancer {
		f.addAgent(fmt.Sprintf("service-%04d", i/16), fmt.Sprintf("domain-%02d", i%13))
	}
	f.converge()
	f.run(10 * time.Second)
	return f
}

// churn makes random servers announce changes at the daily rate.
func (f *fleet) churn() {
	rate := changesPerServer * float64(len(f.agents))
	var step func()
	step = func() {
		a := f.agents[f.random.IntN(len(f.agents))]
		a.core.setState(f.now, a.core.self.State, a.core.self.Weight%100+1)
		a.perform()
		f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), step)
	}
	f.after(0, step)
}

// BenchmarkControlTraffic measures the control traffic of a balancer and an agent
// and the CPU time of a balancer in steady fleets of several sizes, and the slopes.
func BenchmarkControlTraffic(b *testing.B) {
	const seconds = 60
	for range b.N {
		var sizes, bytes, processor []float64
		for _, balancers := range []int{26, 52, 104, 208} {
			f := convergedFleet(balancers, Timing{})
			f.churn()
			f.resetBytes()
			f.measureBusy = true
			f.run(seconds * time.Second)
			datagrams, calls := f.nodeBytes()
			agents := 0
			for _, a := range f.agents {
				agents += a.bytes + a.callBytes
			}
			perNode := float64(datagrams+calls) / seconds
			busy := f.busy.Seconds() / float64(balancers) / seconds * 100
			report(fmt.Sprintf("membership_bytes_balancer_%d", balancers), perNode, "B/s")
			report(fmt.Sprintf("membership_bytes_agent_%d", balancers), float64(agents)/float64(len(f.agents))/seconds, "B/s")
			report(fmt.Sprintf("membership_processor_balancer_%d", balancers), busy, "percent_of_core")
			sizes = append(sizes, float64(balancers))
			bytes = append(bytes, perNode)
			processor = append(processor, busy)
		}
		reportSlope("membership_bytes_balancer", sizes, bytes, "B/s")
		reportSlope("membership_processor_balancer", sizes, processor, "percent_of_core")
	}
}

// reportSlope prints the least-squares slope per balancer and the value that it
// predicts at the target size.
func reportSlope(name string, sizes, values []float64, unit string) {
	var meanX, meanY float64
	for i := range sizes {
		meanX += sizes[i] / float64(len(sizes))
		meanY += values[i] / float64(len(sizes))
	}
	var covariance, variance float64
	for i := range sizes {
		covariance += (sizes[i] - meanX) * (values[i] - meanY)
		variance += (sizes[i] - meanX) * (sizes[i] - meanX)
	}
	slope := covariance / variance
	report(name+"_slope", slope, unit+"_per_balancer")
	report(name+"_at_2600", meanY+slope*(2600-meanX), unit)
}

// BenchmarkDetection measures, for several heartbeat periods, the time until a
// stopped server is removed everywhere and the traffic of a balancer.
func BenchmarkDetection(b *testing.B) {
	for range b.N {
		for _, period := range []time.Duration{250, 500, 1000, 2000, 4000} {
			period *= time.Millisecond
			timing := Timing{Heartbeat: period, HeartbeatTimeout: period * 7 / 2}
			f := convergedFleet(26, timing)
			f.resetBytes()
			f.run(20 * time.Second)
			datagrams, calls := f.nodeBytes()
			var worst, total time.Duration
			const trials = 10
			for i := range trials {
				f.agents[i].stopped = true
				took, _ := f.runUntil(time.Minute, f.converged)
				worst = max(worst, took)
				total += took
			}
			name := fmt.Sprintf("membership_heartbeat_%dms", period.Milliseconds())
			report(name+"_detection_mean", (total / trials).Seconds(), "s")
			report(name+"_detection_worst", worst.Seconds(), "s")
			report(name+"_balancer", float64(datagrams+calls)/20, "B/s")
		}
	}
}

// BenchmarkMassRestart measures a concurrent start of 1,000 servers of many
// services, and of one service.
func BenchmarkMassRestart(b *testing.B) {
	for range b.N {
		for _, services := range []int{62, 1} {
			f := newFleet(15)
			f.populate(fourDomains, 5, 0)
			f.converge()
			f.resetBytes()
			for i := range 1000 {
				f.addAgent(fmt.Sprintf("service-%02d", i%services), fourDomains[i%len(fourDomains)])
			}
			took, _ := f.runUntil(time.Minute, f.converged)
			f.run(10*time.Second - took)
			datagrams, calls := f.nodeBytes()
			name := fmt.Sprintf("membership_restart_1000_servers_%d_services", services)
			report(name+"_settled", took.Seconds(), "s")
			report(name+"_balancer_datagrams", float64(datagrams)/1000, "kB")
			report(name+"_balancer_calls", float64(calls)/1000, "kB")
		}
	}
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHeartbeatOverSocket measures the CPU time of one heartbeat and its
// reply over UDP, of the sender and the balancer together.
func BenchmarkHeartbeatOverSocket(b *testing.B) {
	control := netip.MustParseAddrPort("127.0.0.1:0")
	node, err := NewNode(NodeOptions{Self: Peer{
		Name: "n1", Domain: "junin", Packet: netip.MustParseAddrPort("127.0.0.1:1"), Control: control,
	}})
	if err != nil {
		b.Fatal(err)
	}
	stop := runUntilStopped(node.Run)
	defer stop()
	client, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(node.Addr()))
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	heartbeat := &pb.Heartbeat{Incarnation: 1, Sequence: 1, Record: recordToWire(fuzzRecord(), statusAlive)}
	datagram, _ := encodeEnvelope(&pb.Envelope{
		Format: datagramFormat, Sender: "s1", Body: &pb.Envelope_Heartbeat{Heartbeat: heartbeat},
	})
	reply := make([]byte, 65536)
	start := cpuTime()
	for b.Loop() {
		_, _ = client.Write(datagram)
		_ = client.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = client.Read(reply)
	}
	report("membership_heartbeat_over_socket_processor", float64((cpuTime()-start).Nanoseconds())/float64(b.N), "ns")
}
