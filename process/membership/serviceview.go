package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "bergamotbank/process/membership/membershippb"
)

// viewBucketCount is the number of digest buckets of a view of some services.
const viewBucketCount = 64

// recordDigest returns a digest of the name and version of a record.
func recordDigest(r Record) uint64 {
	return entryDigest(xxhash.Sum64String(r.Server), r.Incarnation, r.Sequence, 0)
}

// serviceDigests returns the digest of the live servers of each service.
func serviceDigests(servers []Record) map[string]uint64 {
	digests := make(map[string]uint64)
	for i := range servers {
		digests[servers[i].Service] ^= recordDigest(servers[i])
	}
	return digests
}

// viewDigest combines the digests of the services that an agent needs.
func viewDigest(digests map[string]uint64, service string, dependsOn []string) uint64 {
	digest := digests[service]
	for _, name := range dependsOn {
		if name != service {
			digest ^= digests[name]
		}
	}
	return digest
}

// viewBuckets returns the bucket digests of a set of records.
func viewBuckets(records []Record) []uint32 {
	var sums [viewBucketCount]uint64
	for i := range records {
		sums[viewBucketOf(records[i].Server)] ^= recordDigest(records[i])
	}
	buckets := make([]uint32, viewBucketCount)
	for i := range sums {
		buckets[i] = uint32(sums[i])
	}
	return buckets
}

func viewBucketOf(server string) uint32 {
	return uint32(xxhash.Sum64String(server) % viewBucketCount)
}

// selectServices returns the records of some services.
func selectServices(servers []Record, services []string) []Record {
	var selected []Record
	for i := range servers {
		if slices.Contains(services, servers[i].Service) {
			selected = append(selected, servers[i])
		}
	}
	return selected
}

// viewDelta returns the buckets in which the records differ from those of the
// agent, and the records of these buckets.
func viewDelta(records []Record, agentBuckets []uint32) (replaced []uint32, delta []Record) {
	current := viewBuckets(records)
	if len(agentBuckets) != viewBucketCount {
		replaced = allBuckets()
	} else {
		for i := range current {
			if current[i] != agentBuckets[i] {
				replaced = append(replaced, uint32(i))
			}
		}
	}
	for i := range records {
		if slices.Contains(replaced, viewBucketOf(records[i].Server)) {
			delta = append(delta, records[i])
		}
	}
	return replaced, delta
}

func allBuckets() []uint32 {
	all := make([]uint32, viewBucketCount)
	for i := range all {
		all[i] = uint32(i)
	}
	return all
}

// applyDelta replaces the records of some buckets.
func applyDelta(current []Record, replaced []uint32, delta []Record) []Record {
	kept := make([]Record, 0, len(current)+len(delta))
	for i := range current {
		if !slices.Contains(replaced, viewBucketOf(current[i].Server)) {
			kept = append(kept, current[i])
		}
	}
	return append(kept, delta...)
}

// maxFetchContacts is the maximum number of balancers in a response.
const maxFetchContacts = 8

// fetchViewResponse returns the response to an agent's call for some services.
func fetchViewResponse(view View, ready bool, request *pb.FetchViewRequest) *pb.FetchViewResponse {
	records := selectServices(view.Servers, request.Services)
	replaced, delta := viewDelta(records, request.Buckets)
	response := &pb.FetchViewResponse{
		Replaced: replaced,
		Ready:    ready,
		Peers:    sampleContacts(view.Peers),
	}
	for i := range delta {
		response.Records = append(response.Records, recordToWire(delta[i], statusAlive))
	}
	for i := range records {
		response.Digest ^= recordDigest(records[i])
	}
	return response
}

// sampleContacts returns some balancers that the agent tries if its homes fail.
func sampleContacts(peers []Peer) []*pb.Peer {
	contacts := make([]*pb.Peer, 0, maxFetchContacts)
	step := max(1, len(peers)/maxFetchContacts)
	for i := 0; i < len(peers) && len(contacts) < maxFetchContacts; i += step {
		contacts = append(contacts, peerToWire(peers[i], statusAlive))
	}
	return contacts
}
