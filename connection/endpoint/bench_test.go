package endpoint_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// BenchmarkIdleStreams measures the memory of idle connections, both ends in
// this process, and the round trip of a short message through fabric, balancer
// and agent and back.
func BenchmarkIdleStreams(b *testing.B) {
	for b.Loop() {
	}
	const streams = 2000
	n := newNetwork(b, 2)
	agents := n.newAgents(1)
	n.steerAll(agents, servers(agents...))
	caller := n.newEndpoint("caller")
	before := heap()
	open := make([]*stream, streams)
	for i := range open {
		s, err := n.open(caller)
		if err != nil {
			b.Fatal(err)
		}
		open[i] = s
	}
	each := float64(heap()-before) / streams / 1024
	fmt.Printf("bench endpoint_idle_connection_both_ends %.1f KB\n", each)
	fmt.Printf("bench endpoint_round_trip_p50 %.0f us\n", float64(roundTrip(b, open[0]).Microseconds()))
}

// roundTrip returns the median time of a short echo.
func roundTrip(b *testing.B, s *stream) time.Duration {
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

// BenchmarkDownload measures the rate of one echoed stream.
func BenchmarkDownload(b *testing.B) {
	for b.Loop() {
	}
	n := newNetwork(b, 2)
	agents := n.newAgents(1)
	n.steerAll(agents, servers(agents...))
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

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
