package flows_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotbank/connection/encap"
	"bergamotbank/connection/flows"
	"bergamotbank/version/steering"
)

// BenchmarkSuccessiveChanges weighs candidate lists alone against candidate
// lists with registration: all servers that take new flows are replaced 1, 3
// and 10 times.
func BenchmarkSuccessiveChanges(b *testing.B) {
	for b.Loop() {
	}
	for _, changes := range []int{1, 3, 10} {
		for _, alone := range []bool{true, false} {
			name := "registration"
			if alone {
				name = "candidates_alone"
			}
			options := flows.Options{DisableRegistration: alone}
			broken := brokenByChanges(options, changes, 2*flows.RecentWindow)
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
	w := newWorld(7, 1, flows.Options{})
	w.settle(fleet(0, 6))
	for caller := range callers {
		w.establish(0, caller)
	}
	w.pass(time.Second)
	w.messageBytes, w.messageHashes = 0, 0
	w.settle(append(fleet(1, 6), drained(0)))
	w.pass(time.Second)
	fmt.Printf("bench flows_registered_by_one_change %d flows\n", w.messageHashes)
	fmt.Printf("bench flows_registration_per_flow %.2f B\n", float64(w.messageBytes)/float64(w.messageHashes))
	w.messageBytes = 0
	w.pass(time.Minute)
	fmt.Printf("bench flows_registration_refresh_fleet_of_7 %.0f B/s\n", float64(w.messageBytes)/60)
}

// BenchmarkInbound measures the decision for a segment of an established flow
// among 2,000.
func BenchmarkInbound(b *testing.B) {
	w := newWorld(1, 1, flows.Options{})
	w.settle(fleet(0, 0))
	for caller := range 2000 {
		w.establish(0, caller)
	}
	s := toService(1, ack, 101, ownISN(0)+1)
	decide := func() {
		h := &encap.Header{Kind: encap.KindPacket}
		h.Visit(agentAddr(0))
		w.agents[0].Inbound(s, h, w.now)
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

// BenchmarkChange measures the work of an agent with 2,000 flows in a service of
// 1,000 servers when one server goes.
func BenchmarkChange(b *testing.B) {
	w := newWorld(1, 1, flows.Options{})
	w.settle(fleet(0, 0))
	for caller := range 2000 {
		w.establish(0, caller)
	}
	whole, less := fleet(0, 999), fleet(1, 999)
	start := time.Now()
	changes := 0
	for b.Loop() {
		w.agents[0].SetServers([][]steering.Server{whole, less}[changes%2], nil, w.now)
		changes++
	}
	fmt.Printf("bench flows_change_1000_servers_2000_flows %.2f ms\n", time.Since(start).Seconds()*1000/float64(changes))
}
