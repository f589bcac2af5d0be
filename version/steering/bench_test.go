package steering_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"bergamotbank/version/steering"
)

// newServers returns count backend servers of full weight.
func newServers(prefix string, count int) []steering.Server {
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

// bucketsByServer returns the number of buckets of each server by name.
func bucketsByServer(t *steering.Table) map[string]int {
	counts := make(map[string]int)
	for hash := range uint64(t.Buckets()) {
		index, _ := t.Lookup(hash)
		counts[t.Server(index).Name]++
	}
	return counts
}

// imbalance returns the largest ratio of a server's buckets to its fair share.
func imbalance(t *steering.Table, servers []steering.Server) float64 {
	var weights int
	for _, s := range servers {
		weights += int(s.Weight)
	}
	counts := bucketsByServer(t)
	var largest float64
	for _, s := range servers {
		fair := float64(t.Buckets()) * float64(s.Weight) / float64(weights)
		largest = max(largest, float64(counts[s.Name])/fair)
	}
	return largest
}

// movedShare returns the share of hashes that the tables map to different servers.
func movedShare(a, b *steering.Table) float64 {
	size := uint64(max(a.Buckets(), b.Buckets()))
	moved := 0
	for hash := range size {
		i, _ := a.Lookup(hash)
		j, _ := b.Lookup(hash)
		if a.Server(i).Name != b.Server(j).Name {
			moved++
		}
	}
	return float64(moved) / float64(size)
}

func report(name string, value float64, unit string) {
	fmt.Printf("bench %s %.4f %s\n", name, value, unit)
}

func BenchmarkImbalance(b *testing.B) {
	for b.Loop() {
	}
	for _, count := range []int{3, 7, 65, 100, 1000} {
		servers := newServers("a", count)
		table := steering.Build(servers)
		name := fmt.Sprintf("steering_%d_servers", count)
		report(name+"_buckets", float64(table.Buckets()), "buckets")
		report(name+"_imbalance", imbalance(table, servers), "ratio")
		servers[1].Weight = steering.FullWeight / 10
		report(name+"_one_at_tenth_imbalance", imbalance(steering.Build(servers), servers), "ratio")
	}
}

// BenchmarkBucketCount compares imbalance and memory for different numbers of
// buckets per server.
func BenchmarkBucketCount(b *testing.B) {
	for b.Loop() {
	}
	for _, perServer := range []int{16, 32, 64, 128, 256} {
		for _, count := range []int{7, 100, 1000} {
			servers := newServers("a", count)
			table := steering.BuildWithMinBuckets(servers, perServer)
			name := fmt.Sprintf("steering_%d_servers_at_least_%d_buckets_each", count, perServer)
			report(name+"_imbalance", imbalance(table, servers), "ratio")
			report(name+"_bytes_per_server", float64(2*table.Buckets())/float64(count), "B")
			servers[1].Weight = steering.FullWeight / 10
			tenth := imbalance(steering.BuildWithMinBuckets(servers, perServer), servers)
			report(name+"_one_at_tenth_imbalance", tenth, "ratio")
		}
	}
}

func BenchmarkMoves(b *testing.B) {
	for b.Loop() {
	}
	for _, count := range []int{7, 100, 1000} {
		name := fmt.Sprintf("steering_%d_servers", count)
		servers := newServers("a", count)
		full := steering.Build(servers)
		report(name+"_removal_moved_needlessly", movedShare(full, steering.Build(servers[1:]))-1/float64(count), "ratio")
		servers[1].Weight = 10
		cold := steering.Build(servers)
		servers[1].Weight = 20
		step := float64(10) / float64(100*count)
		report(name+"_weight_step_moved_needlessly", movedShare(cold, steering.Build(servers))-step, "ratio")
	}
	for _, count := range []int{8, 64, 512} {
		moved := movedShare(steering.Build(newServers("a", count)), steering.Build(newServers("a", count+1)))
		report(fmt.Sprintf("steering_%d_to_%d_servers_moved", count, count+1), moved, "ratio")
	}
}

func BenchmarkBuild1000(b *testing.B) {
	servers := newServers("a", 1000)
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
		history = history.Push(steering.Build(newServers("a", 1000-i)), now, time.Hour)
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
	before := heapBytes()
	histories := make([]steering.History, services)
	now := time.Now()
	for i := range histories {
		servers := newServers(fmt.Sprintf("s%d", i), perService+1)
		for g := range generations {
			histories[i] = histories[i].Push(steering.Build(servers[g:perService+g-1]), now, time.Hour)
		}
	}
	report("steering_memory_26000_servers_3_generations", float64(heapBytes()-before)/(1<<20), "MB")
	runtime.KeepAlive(histories)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
