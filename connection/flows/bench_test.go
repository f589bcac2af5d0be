package flows_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotbank/connection/encap"
	"bergamotbank/connection/flows"
	"bergamotbank/version/steering"
)

// BenchmarkSuccessiveChanges compares candidate lists alone with candidate lists
// and registration: all servers that accept new flows are replaced 1, 3 and 10
// times.
func BenchmarkSuccessiveChanges(b *testing.B) {
	for b.Loop() {
	}
	for _, changes := range []int{1, 3, 10} {
		for _, candidatesAlone := range []bool{true, false} {
			name := "registration"
			if candidatesAlone {
				name = "candidates_alone"
			}
			options := flows.Options{DisableRegistration: candidatesAlone}
			broken := countBrokenFlows(options, changes, 2*flows.RecentWindow)
			fmt.Printf("bench flows_broken_of_300_after_%d_changes_%s %d flows\n", changes, name, broken)
		}
	}
}

// BenchmarkRegistrationBytes measures the registration traffic that one change
// causes: one of 7 servers drains while 2,000 flows are open on each.
func BenchmarkRegistrationBytes(b *testing.B) {
	for b.Loop() {
	}
	const callers = 14_000
	c := newTestCluster(7, 1, flows.Options{})
	c.setServers(serverRange(0, 6))
	for caller := range callers {
		c.establish(0, caller)
	}
	c.advance(time.Second)
	c.messageBytes, c.messageHashes = 0, 0
	c.setServers(append(serverRange(1, 6), drainingServer(0)))
	c.advance(time.Second)
	fmt.Printf("bench flows_registered_by_one_change %d flows\n", c.messageHashes)
	fmt.Printf("bench flows_registration_per_flow %.2f B\n", float64(c.messageBytes)/float64(c.messageHashes))
	c.messageBytes = 0
	c.advance(time.Minute)
	fmt.Printf("bench flows_registration_refresh_fleet_of_7 %.0f B/s\n", float64(c.messageBytes)/60)
}

// BenchmarkInbound measures the decision for a segment of an established flow
// among 2,000.
func BenchmarkInbound(b *testing.B) {
	c := newTestCluster(1, 1, flows.Options{})
	c.setServers(serverRange(0, 0))
	for caller := range 2000 {
		c.establish(0, caller)
	}
	s := toService(1, ack, 101, agentISN(0)+1)
	decide := func() {
		h := &encap.Header{Kind: encap.KindPacket}
		h.Visit(agentAddr(0))
		c.agents[0].Inbound(s, h, c.now)
	}
	start := time.Now()
	decisions := 0
	for b.Loop() {
		decide()
		decisions++
	}
	fmt.Printf("bench flows_decision %.1f ns\n", float64(time.Since(start).Nanoseconds())/float64(decisions))
	fmt.Printf("bench flows_decision_allocations %.0f allocs\n", testing.AllocsPerRun(1000, decide))
}

// BenchmarkChange measures the time that an agent with 2,000 flows takes for one
// server added to or removed from a service of 1,000 servers.
func BenchmarkChange(b *testing.B) {
	c := newTestCluster(1, 1, flows.Options{})
	c.setServers(serverRange(0, 0))
	for caller := range 2000 {
		c.establish(0, caller)
	}
	all, withoutFirst := serverRange(0, 999), serverRange(1, 999)
	start := time.Now()
	changes := 0
	for b.Loop() {
		c.agents[0].SetServers([][]steering.Server{all, withoutFirst}[changes%2], nil, c.now)
		changes++
	}
	fmt.Printf("bench flows_change_1000_servers_2000_flows %.2f ms\n", time.Since(start).Seconds()*1000/float64(changes))
}
