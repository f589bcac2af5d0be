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

// naiveOwners fills the buckets with whole preference lists: in each round
// every server collects its weight, and one with the heaviest server's weight
// takes its first free bucket, until it has its share.
func naiveOwners(all []steering.Server) []string {
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
	total, heaviest := 0, 0
	for _, s := range servers {
		total += int(s.Weight)
		heaviest = max(heaviest, int(s.Weight))
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
			if credit[s.Name] < heaviest || quota[s.Name] == 0 {
				continue
			}
			credit[s.Name] -= heaviest
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
	servers := fleet("s", rapid.IntRange(0, 40).Draw(t, "servers"))
	for i := range servers {
		servers[i].Weight = rapid.SampledFrom([]uint16{0, 1, 10, 35, 100, 100, 100}).Draw(t, "weight")
	}
	return servers
}

func TestTableMatchesNaiveFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t)
		want := naiveOwners(servers)
		table := steering.Build(rapid.Permutation(servers).Draw(t, "order"))
		if table.Buckets() != len(want) {
			t.Fatalf("%d buckets, want %d", table.Buckets(), len(want))
		}
		for hash, name := range want {
			index, ok := table.Lookup(uint64(hash))
			if !ok || table.Server(index).Name != name {
				t.Fatalf("hash %d goes to %s, want %s", hash, table.Server(index).Name, name)
			}
		}
	})
}

func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t)
		table := steering.Build(servers)
		counts := owned(table)
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

func TestTableEdges(t *testing.T) {
	convey.Convey("A table without servers steers nothing", t, func() {
		_, ok := steering.Build(nil).Lookup(1)
		convey.So(ok, convey.ShouldBeFalse)
	})
	convey.Convey("Servers without weight own buckets only among themselves", t, func() {
		servers := fleet("a", 3)
		servers[0].Weight, servers[1].Weight = 0, 0
		convey.So(steering.Build(servers).Len(), convey.ShouldEqual, 1)
		convey.So(steering.Build(servers[:2]).Equal(steering.Build(fleet("a", 2))), convey.ShouldBeTrue)
	})
	convey.Convey("A repeated name takes part once, and weights are capped", t, func() {
		servers := fleet("a", 2)
		twice := append(fleet("a", 2), servers...)
		twice[0].Weight, twice[2].Weight = 60_000, 60_000
		convey.So(steering.Build(twice).Equal(steering.Build(servers)), convey.ShouldBeTrue)
	})
	convey.Convey("The figures of balance, moves and allocations hold", t, func() {
		for _, count := range []int{7, 100, 1000} {
			servers := fleet("a", count)
			full := steering.Build(servers)
			convey.So(imbalance(full, servers), convey.ShouldBeLessThan, 1.10)
			less := moved(full, steering.Build(servers[1:])) - 1/float64(count)
			convey.So(less, convey.ShouldBeLessThan, 0.05)
			servers[0].Weight = steering.FullWeight / 10
			convey.So(imbalance(steering.Build(servers), servers), convey.ShouldBeLessThan, 1.10)
		}
		table := steering.Build(fleet("a", 7))
		convey.So(testing.AllocsPerRun(100, func() { table.Lookup(99) }), convey.ShouldEqual, 0)
	})
}

func TestHistoryNamesFormerOwners(t *testing.T) {
	convey.Convey("The owner comes first, then distinct former owners while they are recent", t, func() {
		servers := fleet("a", 6)
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
		again := history.Push(steering.Build(servers[5:6]), start.Add(time.Hour), time.Minute)
		convey.So(again.Current(), convey.ShouldEqual, history.Current())
		convey.So(again.Candidates(7, &out), convey.ShouldEqual, 1)
		empty := history.Push(steering.Build(nil), start.Add(7*time.Second), time.Minute)
		convey.So(empty.Candidates(7, &out), convey.ShouldEqual, 0)
	})
}
