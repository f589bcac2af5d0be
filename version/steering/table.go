// Package steering decides which backend server takes a flow. A Table divides
// the flow hashes of one service among its servers in proportion to their
// weights. It is a pure function of the server list, so that every process
// with the same list has the same table.
package steering

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// FullWeight is the weight of a warm backend server.
	FullWeight = 100

	// minBucketsPerServer is the lower bound of buckets per server.
	minBucketsPerServer = 64
	// minBuckets is the lower bound of buckets per table.
	minBuckets = 256
	// maxServers is the number of servers that a bucket entry can name.
	maxServers = 1 << 16
)

// Server is a backend server as seen by the table.
type Server struct {
	// Name identifies the backend server. It decides the server's buckets.
	Name string
	// Domain is the failure domain of the server.
	Domain string
	// Addr is the packet address of the server's agent.
	Addr netip.AddrPort
	// Incarnation is the run of the server's agent. It does not change the table.
	Incarnation uint64
	// Weight is the relative share of new flows, at most FullWeight; more counts
	// as FullWeight. Weight 0 is a server that takes no new flows.
	Weight uint16
}

// Table maps flow hashes to backend servers. It is immutable.
type Table struct {
	servers []Server
	buckets []uint16
	mask    uint64
}

// Build returns the table of the given servers. The order of the input is
// irrelevant. Servers of weight 0 own no bucket unless all have weight 0; then
// they share the buckets, so that packets of their open flows still arrive. Of
// several servers with the same name only the first by address counts. At most
// 65,536 servers take part; those with the last names are left out.
func Build(servers []Server) *Table {
	return build(servers, minBucketsPerServer)
}

func build(servers []Server, perServer int) *Table {
	weighted := sorted(withWeight(servers))
	if len(weighted) == 0 {
		return &Table{}
	}
	count := bucketCount(len(weighted), perServer)
	t := &Table{
		servers: weighted,
		buckets: make([]uint16, count),
		mask:    uint64(count) - 1,
	}
	t.fill()
	return t
}

// Lookup returns the index of the server that owns the hash. It returns false
// when the table has no server.
func (t *Table) Lookup(hash uint64) (index int, ok bool) {
	if len(t.buckets) == 0 {
		return 0, false
	}
	return int(t.buckets[hash&t.mask]), true
}

// pairTries is the number of further buckets that Pair looks at.
const pairTries = 6

// Pair returns the index of the server that owns the hash and of another one that
// stands in for it. Both are equal when the table has only one server. It returns
// false when the table has none.
func (t *Table) Pair(hash uint64) (first, second int, ok bool) {
	first, ok = t.Lookup(hash)
	second = first
	for try := 1; ok && try <= pairTries && second == first; try++ {
		second, _ = t.Lookup(bits.RotateLeft64(hash, -8*try))
	}
	return first, second, ok
}

// Server returns the server at an index returned by Lookup.
func (t *Table) Server(index int) Server {
	return t.servers[index]
}

// Addr returns the agent address of the server at an index returned by Lookup.
func (t *Table) Addr(index int) netip.AddrPort {
	return t.servers[index].Addr
}

// Len returns the number of servers that own buckets.
func (t *Table) Len() int {
	return len(t.servers)
}

// Buckets returns the number of buckets.
func (t *Table) Buckets() int {
	return len(t.buckets)
}

// Equal tells whether both tables steer every hash to the same agent address.
func (t *Table) Equal(other *Table) bool {
	return slices.Equal(t.servers, other.servers) && slices.Equal(t.buckets, other.buckets)
}

// withWeight returns the servers that take part, with their effective weights.
func withWeight(servers []Server) []Server {
	weighted := make([]Server, 0, len(servers))
	for _, s := range servers {
		if s.Weight > 0 {
			weighted = append(weighted, normal(s, min(s.Weight, FullWeight)))
		}
	}
	if len(weighted) > 0 {
		return weighted
	}
	for _, s := range servers {
		weighted = append(weighted, normal(s, FullWeight))
	}
	return weighted
}

// normal returns the server with only what the table depends on.
func normal(s Server, weight uint16) Server {
	s.Incarnation = 0
	s.Weight = weight
	return s
}

func sorted(weighted []Server) []Server {
	slices.SortFunc(weighted, func(a, b Server) int {
		return cmp.Or(
			cmp.Compare(a.Name, b.Name),
			a.Addr.Compare(b.Addr),
			cmp.Compare(a.Domain, b.Domain),
			cmp.Compare(a.Weight, b.Weight),
		)
	})
	weighted = slices.CompactFunc(weighted, func(a, b Server) bool { return a.Name == b.Name })
	if len(weighted) > maxServers {
		weighted = weighted[:maxServers]
	}
	return slices.Clip(weighted)
}

// bucketCount returns the smallest allowed power of two. A power of two keeps
// the modulo a mask and lets a table of twice the size keep most owners.
func bucketCount(servers, perServer int) int {
	want := max(minBuckets, servers*perServer)
	return 1 << bits.Len(uint(want-1))
}

// shares divides count buckets among the servers by weight with the method of
// the largest remainder. Ties go to the first name.
func shares(servers []Server, count int) []int {
	var total uint64
	for _, s := range servers {
		total += uint64(s.Weight)
	}
	share := make([]int, len(servers))
	remainder := make([]uint64, len(servers))
	order := make([]int, len(servers))
	left := count
	for i, s := range servers {
		exact := uint64(count) * uint64(s.Weight)
		share[i] = int(exact / total)
		remainder[i] = exact % total
		order[i] = i
		left -= share[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(remainder[b], remainder[a])
	})
	for _, i := range order[:left] {
		share[i]++
	}
	return share
}

// permutation is the order in which one server prefers the buckets: a walk
// with an odd step, which visits all of a power of two.
type permutation struct {
	next uint64
	step uint64
}

func newPermutation(name string) permutation {
	h := xxhash.Sum64String(name)
	return permutation{next: h >> 32, step: h | 1}
}

// fill gives every server its share. Servers take turns at a rate in
// proportion to their weight, and each takes the free bucket it prefers most.
func (t *Table) fill() {
	left := shares(t.servers, len(t.buckets))
	walks := make([]permutation, len(t.servers))
	credit := make([]uint32, len(t.servers))
	taken := make([]bool, len(t.buckets))
	var heaviest uint32
	for i, s := range t.servers {
		walks[i] = newPermutation(s.Name)
		heaviest = max(heaviest, uint32(s.Weight))
	}
	for free := len(t.buckets); free > 0; {
		for i := range t.servers {
			credit[i] += uint32(t.servers[i].Weight)
			if credit[i] < heaviest || left[i] == 0 {
				continue
			}
			credit[i] -= heaviest
			left[i]--
			free--
			t.take(i, &walks[i], taken)
		}
	}
}

// take gives the server the first free bucket of its walk.
func (t *Table) take(server int, walk *permutation, taken []bool) {
	for {
		bucket := walk.next & t.mask
		walk.next += walk.step
		if !taken[bucket] {
			taken[bucket] = true
			t.buckets[bucket] = uint16(server)
			return
		}
	}
}
