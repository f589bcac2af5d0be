package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "bergamotbank/process/membership/membershippb"
)

// viewBucketCount is the number of digest buckets of a view of some services.
const viewBucketCount = 64

// recordDigest identifies a version of a record.
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
	var wide [viewBucketCount]uint64
	for i := range records {
		wide[viewBucketOf(records[i].Server)] ^= recordDigest(records[i])
	}
	buckets := make([]uint32, viewBucketCount)
	for i := range wide {
		buckets[i] = uint32(wide[i])
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

// viewDelta returns the buckets in which the records differ from what the
// caller holds, and the records of these buckets.
func viewDelta(records []Record, held []uint32) (replaced []uint32, delta []Record) {
	current := viewBuckets(records)
	if len(held) != viewBucketCount {
		replaced = allBuckets()
	} else {
		for i := range current {
			if current[i] != held[i] {
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
func applyDelta(held []Record, replaced []uint32, delta []Record) []Record {
	kept := make([]Record, 0, len(held)+len(delta))
	for i := range held {
		if !slices.Contains(replaced, viewBucketOf(held[i].Server)) {
			kept = append(kept, held[i])
		}
	}
	return append(kept, delta...)
}

// fetchContacts is the number of balancers named in an answer.
const fetchContacts = 8

// answerFetch answers an agent's call for the view of some services.
func answerFetch(view View, ready bool, request *pb.FetchViewRequest) *pb.FetchViewResponse {
	records := selectServices(view.Servers, request.Services)
	replaced, delta := viewDelta(records, request.Buckets)
	response := &pb.FetchViewResponse{
		Replaced: replaced,
		Ready:    ready,
		Peers:    contactsOf(view.Peers),
	}
	for i := range delta {
		response.Records = append(response.Records, recordToWire(delta[i], statusAlive))
	}
	for i := range records {
		response.Digest ^= recordDigest(records[i])
	}
	return response
}

// contactsOf returns some balancers for the case that the caller's homes end.
func contactsOf(peers []Peer) []*pb.Peer {
	contacts := make([]*pb.Peer, 0, fetchContacts)
	step := max(1, len(peers)/fetchContacts)
	for i := 0; i < len(peers) && len(contacts) < fetchContacts; i += step {
		contacts = append(contacts, peerToWire(peers[i], statusAlive))
	}
	return contacts
}
