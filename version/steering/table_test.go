package steering_test

import (
	"cmp"
	"flag"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"bergamotbank/version/steering"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	os.Exit(m.Run())
}

// referenceOwners is the reference model of the table: in each round every server
// accumulates its weight as credit, and a server whose credit has reached the
// largest weight gets its first free bucket, until it has its share. It searches
// the preference list of the server from the start each time.
func referenceOwners(all []steering.Server) []string {
	servers := slices.Clone(all)
	slices.SortFunc(servers, byName)
	servers = slices.DeleteFunc(servers, func(s steering.Server) bool { return s.Weight == 0 })
	if len(servers) == 0 {
		servers = slices.SortedFunc(slices.Values(all), byName)
		for i := range servers {
			servers[i].Weight = 1
		}
	}
	if len(servers) == 0 {
		return nil
	}
	size := 256
	for size < 64*len(servers) {
		size *= 2
	}
	total, maxWeight := 0, 0
	for _, s := range servers {
		total += int(s.Weight)
		maxWeight = max(maxWeight, int(s.Weight))
	}
	quota := make(map[string]int)
	assigned := 0
	for _, s := range servers {
		quota[s.Name] = size * int(s.Weight) / total
		assigned += quota[s.Name]
	}
	byRemainder := slices.Clone(servers)
	slices.SortStableFunc(byRemainder, func(a, b steering.Server) int {
		return cmp.Compare(size*int(b.Weight)%total, size*int(a.Weight)%total)
	})
	for _, s := range byRemainder[:size-assigned] {
		quota[s.Name]++
	}
	owners := make([]string, size)
	credit := make(map[string]int)
	for taken := 0; taken < size; {
		for _, s := range servers {
			credit[s.Name] += int(s.Weight)
			if credit[s.Name] < maxWeight || quota[s.Name] == 0 {
				continue
			}
			credit[s.Name] -= maxWeight
			quota[s.Name]--
			hash := xxhash.Sum64String(s.Name)
			for j := range uint64(size) {
				if bucket := (hash>>32 + j*(hash|1)) % uint64(size); owners[bucket] == "" {
					owners[bucket] = s.Name
					break
				}
			}
			taken++
		}
	}
	return owners
}

func byName(a, b steering.Server) int {
	return cmp.Compare(a.Name, b.Name)
}

func drawServers(t *rapid.T) []steering.Server {
	servers := newServers("s", rapid.IntRange(0, 40).Draw(t, "servers"))
	for i := range servers {
		servers[i].Weight = rapid.SampledFrom([]uint16{0, 1, 10, 35, 100, 100, 100}).Draw(t, "weight")
	}
	return servers
}

func TestTableMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t)
		want := referenceOwners(servers)
		table := steering.Build(rapid.Permutation(servers).Draw(t, "order"))
		if table.Buckets() != len(want) {
			t.Fatalf("%d buckets, want %d", table.Buckets(), len(want))
		}
		for hash, name := range want {
			index, ok := table.Lookup(uint64(hash))
			if !ok || table.Server(index).Name != name {
				t.Fatalf("owner of hash %d is %s, want %s", hash, table.Server(index).Name, name)
			}
		}
	})
}

func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t)
		table := steering.Build(servers)
		counts := bucketsByServer(table)
		total := 0
		for _, s := range servers {
			total += int(s.Weight)
		}
		for _, s := range servers {
			if total == 0 {
				continue
			}
			fair := table.Buckets() * int(s.Weight) / total
			if got := counts[s.Name]; got < fair || got > fair+1 {
				t.Fatalf("%s of weight %d owns %d of %d buckets", s.Name, s.Weight, got, table.Buckets())
			}
		}
	})
}

func TestTableEdgeCases(t *testing.T) {
	convey.Convey("A table without servers has no owner for any hash", t, func() {
		_, ok := steering.Build(nil).Lookup(1)
		convey.So(ok, convey.ShouldBeFalse)
	})
	convey.Convey("Servers of weight 0 own buckets only if all servers have weight 0", t, func() {
		servers := newServers("a", 3)
		servers[0].Weight, servers[1].Weight = 0, 0
		convey.So(steering.Build(servers).Len(), convey.ShouldEqual, 1)
		convey.So(steering.Build(servers[:2]).Equal(steering.Build(newServers("a", 2))), convey.ShouldBeTrue)
	})
	convey.Convey("Duplicate names are removed and weights are capped", t, func() {
		servers := newServers("a", 2)
		duplicated := append(newServers("a", 2), servers...)
		duplicated[0].Weight, duplicated[2].Weight = 60_000, 60_000
		convey.So(steering.Build(duplicated).Equal(steering.Build(servers)), convey.ShouldBeTrue)
	})
	convey.Convey("Imbalance, moved hashes and allocations stay within bounds", t, func() {
		for _, count := range []int{7, 100, 1000} {
			servers := newServers("a", count)
			full := steering.Build(servers)
			convey.So(imbalance(full, servers), convey.ShouldBeLessThan, 1.10)
			excess := movedShare(full, steering.Build(servers[1:])) - 1/float64(count)
			convey.So(excess, convey.ShouldBeLessThan, 0.05)
			servers[0].Weight = steering.FullWeight / 10
			convey.So(imbalance(steering.Build(servers), servers), convey.ShouldBeLessThan, 1.10)
		}
		table := steering.Build(newServers("a", 7))
		convey.So(testing.AllocsPerRun(100, func() { table.Lookup(99) }), convey.ShouldEqual, 0)
	})
}

func TestHistoryListsPreviousOwners(t *testing.T) {
	convey.Convey("The owner comes first, followed by the distinct previous owners until they expire", t, func() {
		servers := newServers("a", 6)
		start := time.Unix(1000, 0)
		history := steering.History{}
		for i := range 6 {
			history = history.Push(steering.Build(servers[i:i+1]), start.Add(time.Duration(i)*time.Second), time.Minute)
		}
		var out [steering.MaxCandidates]netip.AddrPort
		n := history.Candidates(7, &out)
		convey.So(n, convey.ShouldEqual, steering.MaxCandidates)
		for i := range n {
			convey.So(out[i], convey.ShouldEqual, servers[5-i].Addr)
		}
		filtered := history.WithOutDomains([]string{"junin"})
		convey.So(filtered.Candidates(7, &out), convey.ShouldEqual, 1)
		later := history.Push(steering.Build(servers[5:6]), start.Add(time.Hour), time.Minute)
		convey.So(later.Current(), convey.ShouldEqual, history.Current())
		convey.So(later.Candidates(7, &out), convey.ShouldEqual, 1)
		empty := history.Push(steering.Build(nil), start.Add(7*time.Second), time.Minute)
		convey.So(empty.Candidates(7, &out), convey.ShouldEqual, 0)
	})
}
