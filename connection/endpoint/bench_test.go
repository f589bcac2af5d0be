package endpoint_test

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"testing"
	"time"
)

// BenchmarkIdleStreams measures the memory of idle connections with both ends in
// this process, and the round-trip time of a short message through fabric, balancer
// and agent and back.
func BenchmarkIdleStreams(b *testing.B) {
	for b.Loop() {
	}
	const streams = 2000
	n := newTestNetwork(b, 2)
	agents := n.newAgents(1)
	n.setServers(agents, servers(agents...))
	caller := n.newEndpoint("caller")
	before := memoryInUse()
	open := make([]*stream, streams)
	for i := range open {
		s, err := n.open(caller)
		if err != nil {
			b.Fatal(err)
		}
		open[i] = s
	}
	perStream := float64(memoryInUse()-before) / streams / 1024
	fmt.Printf("bench endpoint_idle_connection_both_ends %.1f KB\n", perStream)
	fmt.Printf("bench endpoint_round_trip_p50 %.0f us\n", float64(medianRoundTrip(b, open[0]).Microseconds()))
}

// medianRoundTrip returns the median round-trip time of a short echo.
func medianRoundTrip(b *testing.B, s *stream) time.Duration {
	times := make([]time.Duration, 1001)
	for i := range times {
		start := time.Now()
		if err := s.echo(100); err != nil {
			b.Fatal(err)
		}
		times[i] = time.Since(start)
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// BenchmarkDownload measures the throughput of one echoed stream.
func BenchmarkDownload(b *testing.B) {
	for b.Loop() {
	}
	n := newTestNetwork(b, 2)
	agents := n.newAgents(1)
	n.setServers(agents, servers(agents...))
	s, err := n.open(n.newEndpoint("caller"))
	if err != nil {
		b.Fatal(err)
	}
	const size = 32 << 20
	start := time.Now()
	if err := s.echo(size); err != nil {
		b.Fatal(err)
	}
	fmt.Printf("bench endpoint_echo_one_stream %.0f MB/s\n", size/1e6/time.Since(start).Seconds())
}

// BenchmarkOutage measures how long a stream of small messages takes to resume
// after an outage during which the fabric lost every packet.
func BenchmarkOutage(b *testing.B) {
	for b.Loop() {
	}
	for _, outage := range []time.Duration{1500 * time.Millisecond, 7 * time.Second} {
		n := newTestNetwork(b, 2)
		a := n.newEndpoint("sending")
		a.SetService(serviceAddr)
		n.setServers([]*agent{a}, servers(a))
		n.wg.Go(func() { a.sendPeriodically(n) })
		s, err := n.open(n.newEndpoint("caller"))
		if err != nil {
			b.Fatal(err)
		}
		n.setFaults(faults{loss: 1})
		time.Sleep(outage)
		discardReceived(s)
		n.setFaults(faults{})
		start := time.Now()
		_ = s.SetDeadline(start.Add(testTimeout))
		if _, err := s.Read(make([]byte, 1)); err != nil {
			b.Fatal(err)
		}
		fmt.Printf("bench endpoint_silence_after_outage_of_%v %.2f s\n", outage, time.Since(start).Seconds())
	}
}

// discardReceived reads and discards the bytes that have arrived.
func discardReceived(s *stream) {
	_ = s.SetDeadline(time.Now().Add(10 * time.Millisecond))
	_, _ = io.Copy(io.Discard, s)
}

// sendPeriodically sends each caller the agent's name and then a byte every 100 ms.
func (a *agent) sendPeriodically(n *testNetwork) {
	for {
		c, err := a.Listen().Accept()
		if err != nil {
			return
		}
		n.wg.Go(func() {
			for message := a.name + "\n"; ; message = "." {
				if _, err := io.WriteString(c, message); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// memoryInUse returns the heap and stack memory in use, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
