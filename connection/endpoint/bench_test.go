package endpoint_test

import (
	"fmt"
	"io"
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

// BenchmarkOutage measures how long a feed stays silent after the fabric lost
// every packet for a while.
func BenchmarkOutage(b *testing.B) {
	for b.Loop() {
	}
	for _, outage := range []time.Duration{1500 * time.Millisecond, 7 * time.Second} {
		n := newNetwork(b, 2)
		a := n.newEndpoint("feeding")
		a.SetService(serviceAddr)
		n.steerAll([]*agent{a}, servers(a))
		n.wg.Go(func() { a.feed(n) })
		s, err := n.open(n.newEndpoint("caller"))
		if err != nil {
			b.Fatal(err)
		}
		n.setFaults(faults{loss: 1})
		time.Sleep(outage)
		drain(s)
		n.setFaults(faults{})
		start := time.Now()
		_ = s.SetDeadline(start.Add(patience))
		if _, err := s.Read(make([]byte, 1)); err != nil {
			b.Fatal(err)
		}
		fmt.Printf("bench endpoint_silence_after_outage_of_%v %.2f s\n", outage, time.Since(start).Seconds())
	}
}

// drain reads what has arrived.
func drain(s *stream) {
	_ = s.SetDeadline(time.Now().Add(10 * time.Millisecond))
	_, _ = io.Copy(io.Discard, s)
}

// feed sends each caller the agent's name and then a byte every 100 ms.
func (a *agent) feed(n *network) {
	for {
		c, err := a.Listen().Accept()
		if err != nil {
			return
		}
		n.wg.Go(func() {
			for entry := a.name + "\n"; ; entry = "." {
				if _, err := io.WriteString(c, entry); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
