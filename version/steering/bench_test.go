package steering_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"bergamotbank/version/steering"
)

// fleet returns count servers of full weight.
func fleet(prefix string, count int) []steering.Server {
	servers := make([]steering.Server, count)
	for i := range servers {
		servers[i] = steering.Server{
			Name:   fmt.Sprintf("%s-%d", prefix, i),
			Domain: "junin",
			Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 4000),
			Weight: steering.FullWeight,
		}
	}
	return servers
}

// owned counts the buckets of each server by name.
func owned(t *steering.Table) map[string]int {
	counts := make(map[string]int)
	for hash := range uint64(t.Buckets()) {
		index, _ := t.Lookup(hash)
		counts[t.Server(index).Name]++
	}
	return counts
}

// imbalance is the largest load for its weight over the mean load for the weight.
func imbalance(t *steering.Table, servers []steering.Server) float64 {
	var weights int
	for _, s := range servers {
		weights += int(s.Weight)
	}
	counts := owned(t)
	var largest float64
	for _, s := range servers {
		fair := float64(t.Buckets()) * float64(s.Weight) / float64(weights)
		largest = max(largest, float64(counts[s.Name])/fair)
	}
	return largest
}

// moved is the share of hashes that two tables steer to different servers.
func moved(a, b *steering.Table) float64 {
	size := uint64(max(a.Buckets(), b.Buckets()))
	different := 0
	for hash := range size {
		i, _ := a.Lookup(hash)
		j, _ := b.Lookup(hash)
		if a.Server(i).Name != b.Server(j).Name {
			different++
		}
	}
	return float64(different) / float64(size)
}

func report(name string, value float64, unit string) {
	fmt.Printf("bench %s %.4f %s\n", name, value, unit)
}

func BenchmarkImbalance(b *testing.B) {
	for b.Loop() {
	}
	for _, count := range []int{3, 7, 65, 100, 1000} {
		servers := fleet("a", count)
		table := steering.Build(servers)
		name := fmt.Sprintf("steering_%d_servers", count)
		report(name+"_buckets", float64(table.Buckets()), "buckets")
		report(name+"_imbalance", imbalance(table, servers), "ratio")
		servers[1].Weight = steering.FullWeight / 10
		report(name+"_one_at_tenth_imbalance", imbalance(steering.Build(servers), servers), "ratio")
	}
}

// BenchmarkBucketCount weighs buckets per server against imbalance and memory.
func BenchmarkBucketCount(b *testing.B) {
	for b.Loop() {
	}
	for _, perServer := range []int{16, 32, 64, 128, 256} {
		for _, count := range []int{7, 100, 1000} {
			servers := fleet("a", count)
			table := steering.BuildWith(servers, perServer)
			name := fmt.Sprintf("steering_%d_servers_at_least_%d_buckets_each", count, perServer)
			report(name+"_imbalance", imbalance(table, servers), "ratio")
			report(name+"_bytes_per_server", float64(2*table.Buckets())/float64(count), "B")
			servers[1].Weight = steering.FullWeight / 10
			tenth := imbalance(steering.BuildWith(servers, perServer), servers)
			report(name+"_one_at_tenth_imbalance", tenth, "ratio")
		}
	}
}

func BenchmarkMoves(b *testing.B) {
	for b.Loop() {
	}
	for _, count := range []int{7, 100, 1000} {
		name := fmt.Sprintf("steering_%d_servers", count)
		servers := fleet("a", count)
		full := steering.Build(servers)
		report(name+"_removal_moved_needlessly", moved(full, steering.Build(servers[1:]))-1/float64(count), "ratio")
		servers[1].Weight = 10
		cold := steering.Build(servers)
		servers[1].Weight = 20
		step := float64(10) / float64(100*count)
		report(name+"_weight_step_moved_needlessly", moved(cold, steering.Build(servers))-step, "ratio")
	}
	for _, count := range []int{8, 64, 512} {
		grown := moved(steering.Build(fleet("a", count)), steering.Build(fleet("a", count+1)))
		report(fmt.Sprintf("steering_%d_to_%d_servers_moved", count, count+1), grown, "ratio")
	}
}

func BenchmarkBuild1000(b *testing.B) {
	servers := fleet("a", 1000)
	start := time.Now()
	builds := 0
	for b.Loop() {
		steering.Build(servers)
		builds++
	}
	report("steering_rebuild_1000_servers", time.Since(start).Seconds()*1000/float64(builds), "ms")
}

func BenchmarkLookup(b *testing.B) {
	history := steering.History{}
	now := time.Now()
	for i := range 3 {
		history = history.Push(steering.Build(fleet("a", 1000-i)), now, time.Hour)
	}
	var out [steering.MaxCandidates]netip.AddrPort
	var hash uint64
	b.ReportAllocs()
	start := time.Now()
	lookups := 0
	for b.Loop() {
		hash += 0x9e3779b97f4a7c15
		history.Candidates(hash, &out)
		lookups++
	}
	report("steering_decision_1000_servers", float64(time.Since(start).Nanoseconds())/float64(lookups), "ns")
	allocs := testing.AllocsPerRun(1000, func() { history.Candidates(hash, &out) })
	report("steering_decision_allocations", allocs, "allocs")
}

func BenchmarkMemory(b *testing.B) {
	const services, perService, generations = 1600, 16, 3
	for b.Loop() {
	}
	before := heap()
	histories := make([]steering.History, services)
	now := time.Now()
	for i := range histories {
		servers := fleet(fmt.Sprintf("s%d", i), perService+1)
		for g := range generations {
			histories[i] = histories[i].Push(steering.Build(servers[g:perService+g-1]), now, time.Hour)
		}
	}
	report("steering_memory_26000_servers_3_generations", float64(heap()-before)/(1<<20), "MB")
	runtime.KeepAlive(histories)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
