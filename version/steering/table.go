// Package steering selects backend servers for flows by consistent hashing. A Table
// distributes the flow hashes of one service among its servers in proportion to
// their weights. It is a pure function of the server list, so that all processes
// with the same list have the same table.
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

	// minBucketsPerServer is the minimum number of buckets per server.
	minBucketsPerServer = 64
	// minBuckets is the minimum number of buckets per table.
	minBuckets = 256
	// maxServers is the number of servers that a 16-bit bucket can index.
	maxServers = 1 << 16
)

// Server is the input of a Table for one backend server.
type Server struct {
	// Name identifies the backend server. Its hash determines the server's buckets.
	Name string
	// Domain is the failure domain of the server.
	Domain string
	// Addr is the packet address of the server's agent.
	Addr netip.AddrPort
	// Incarnation is the run ID of the server's agent. It does not affect the table.
	Incarnation uint64
	// Weight is the relative share of new flows; values above FullWeight count as
	// FullWeight. A server of weight 0 receives no new flows.
	Weight uint16
}

// Table maps flow hashes to backend servers. It is immutable.
type Table struct {
	servers []Server
	buckets []uint16
	mask    uint64
}

// Build returns the table of the given servers, whose order is irrelevant. Servers
// of weight 0 own no bucket unless all have weight 0; then they share the buckets,
// so that packets of their open flows still arrive. Of several servers with the
// same name, only the first by address is used. The table has at most 65,536
// servers, the first by name.
func Build(servers []Server) *Table {
	return build(servers, minBucketsPerServer)
}

func build(servers []Server, minPerServer int) *Table {
	weighted := sortAndDeduplicate(weightedServers(servers))
	if len(weighted) == 0 {
		return &Table{}
	}
	count := bucketCount(len(weighted), minPerServer)
	t := &Table{
		servers: weighted,
		buckets: make([]uint16, count),
		mask:    uint64(count) - 1,
	}
	t.assignBuckets()
	return t
}

// Lookup returns the index of the server that owns the hash. It returns false if
// the table has no server.
func (t *Table) Lookup(hash uint64) (index int, ok bool) {
	if len(t.buckets) == 0 {
		return 0, false
	}
	return int(t.buckets[hash&t.mask]), true
}

// pairProbes is the number of additional buckets that Pair looks up.
const pairProbes = 6

// Pair returns the indexes of the server that owns the hash and of another server
// that can replace it. Both are equal if the table has only one server or if all probed
// buckets belong to the owner. It returns false if the table has no server.
func (t *Table) Pair(hash uint64) (first, second int, ok bool) {
	first, ok = t.Lookup(hash)
	second = first
	for probe := 1; ok && probe <= pairProbes && second == first; probe++ {
		second, _ = t.Lookup(bits.RotateLeft64(hash, -8*probe))
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

// Equal reports whether both tables have the same servers and buckets, so that they
// map every hash to the same agent address.
func (t *Table) Equal(other *Table) bool {
	return slices.Equal(t.servers, other.servers) && slices.Equal(t.buckets, other.buckets)
}

// weightedServers returns the servers that own buckets, with their effective
// weights.
func weightedServers(servers []Server) []Server {
	weighted := make([]Server, 0, len(servers))
	for _, s := range servers {
		if s.Weight > 0 {
			weighted = append(weighted, normalize(s, min(s.Weight, FullWeight)))
		}
	}
	if len(weighted) > 0 {
		return weighted
	}
	for _, s := range servers {
		weighted = append(weighted, normalize(s, FullWeight))
	}
	return weighted
}

// normalize returns the server with the given weight and without the fields that do
// not affect the table.
func normalize(s Server, weight uint16) Server {
	s.Incarnation = 0
	s.Weight = weight
	return s
}

func sortAndDeduplicate(weighted []Server) []Server {
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

// bucketCount returns the smallest power of two that satisfies both minimums. With
// a power of two the modulo is a bit mask, and most hashes keep their owner when
// the table doubles.
func bucketCount(servers, minPerServer int) int {
	minimum := max(minBuckets, servers*minPerServer)
	return 1 << bits.Len(uint(minimum-1))
}

// bucketShares apportions count buckets among the servers by weight with the largest
// remainder method. Ties go to the first server by name.
func bucketShares(servers []Server, count int) []int {
	var total uint64
	for _, s := range servers {
		total += uint64(s.Weight)
	}
	share := make([]int, len(servers))
	remainder := make([]uint64, len(servers))
	order := make([]int, len(servers))
	remaining := count
	for i, s := range servers {
		exact := uint64(count) * uint64(s.Weight)
		share[i] = int(exact / total)
		remainder[i] = exact % total
		order[i] = i
		remaining -= share[i]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(remainder[b], remainder[a])
	})
	for _, i := range order[:remaining] {
		share[i]++
	}
	return share
}

// permutation is the order in which one server prefers the buckets: a sequence with
// an odd step, which visits every bucket as their number is a power of two.
type permutation struct {
	next uint64
	step uint64
}

func newPermutation(name string) permutation {
	h := xxhash.Sum64String(name)
	return permutation{next: h >> 32, step: h | 1}
}

// assignBuckets assigns every server its share of buckets. In each round a server
// accumulates credit in proportion to its weight, and a server with enough credit
// gets the free bucket that it prefers most.
func (t *Table) assignBuckets() {
	remaining := bucketShares(t.servers, len(t.buckets))
	permutations := make([]permutation, len(t.servers))
	credit := make([]uint32, len(t.servers))
	assigned := make([]bool, len(t.buckets))
	var maxWeight uint32
	for i, s := range t.servers {
		permutations[i] = newPermutation(s.Name)
		maxWeight = max(maxWeight, uint32(s.Weight))
	}
	for free := len(t.buckets); free > 0; {
		for i := range t.servers {
			credit[i] += uint32(t.servers[i].Weight)
			if credit[i] < maxWeight || remaining[i] == 0 {
				continue
			}
			credit[i] -= maxWeight
			remaining[i]--
			free--
			t.assignNextBucket(i, &permutations[i], assigned)
		}
	}
}

// assignNextBucket assigns the server the next free bucket of its permutation.
func (t *Table) assignNextBucket(server int, order *permutation, assigned []bool) {
	for {
		bucket := order.next & t.mask
		order.next += order.step
		if !assigned[bucket] {
			assigned[bucket] = true
			t.buckets[bucket] = uint16(server)
			return
		}
	}
}
