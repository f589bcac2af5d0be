package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	pb "bergamotbank/process/membership/membershippb"
)

const (
	// minExchangeInterval is the minimum time between two anti-entropy exchanges
	// that a balancer starts.
	minExchangeInterval = time.Second
	// maxExchangeDomains is the number of failure domains compared in one exchange.
	maxExchangeDomains = 2
	// maxDigestDomains is the number of failure domains whose digests fit into
	// one datagram. If there are more, each exchange selects some at random.
	maxDigestDomains = (maxDatagram - envelopeOverhead) / (maxName + 16)
	// maxExchangeDatagrams is the maximum number of datagrams with entries sent in
	// response to one message of an exchange.
	maxExchangeDatagrams = 6
)

// startExchange sends the digests of the failure domains to a balancer whose state
// differs.
func (c *nodeCore) startExchange(now time.Time, to netip.AddrPort) {
	if now.Sub(c.lastExchange) < minExchangeInterval {
		return
	}
	c.lastExchange = now
	digest := &pb.Digest{}
	for domain, d := range c.state.digests {
		digest.Domains = append(digest.Domains, &pb.DomainDigest{Domain: domain, Digest: d.total})
	}
	slices.SortFunc(digest.Domains, compareDomainDigests)
	c.random.Shuffle(len(digest.Domains), func(i, j int) {
		digest.Domains[i], digest.Domains[j] = digest.Domains[j], digest.Domains[i]
	})
	digest.Domains = digest.Domains[:min(maxDigestDomains, len(digest.Domains))]
	c.send(to, &pb.Envelope{Body: &pb.Envelope_Digest{Digest: digest}})
}

func compareDomainDigests(a, b *pb.DomainDigest) int {
	return strings.Compare(a.Domain, b.Domain)
}

// handleDigest replies with the bucket digests of failure domains that differ.
func (c *nodeCore) handleDigest(from netip.AddrPort, digest *pb.Digest) {
	theirs := make(map[string]uint64, len(digest.Domains))
	for _, d := range digest.Domains {
		theirs[d.Domain] = d.Digest
	}
	if len(digest.Domains) < maxDigestDomains {
		c.addUnknownDomains(theirs)
	}
	differing := make([]string, 0, len(theirs))
	for domain, value := range theirs {
		if value != c.domainDigest(domain).total {
			differing = append(differing, domain)
		}
	}
	slices.Sort(differing)
	c.random.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	for _, domain := range differing[:min(maxExchangeDomains, len(differing))] {
		c.sendBuckets(from, domain)
	}
}

// addUnknownDomains adds the failure domains that are missing on the other side,
// whose list is complete.
func (c *nodeCore) addUnknownDomains(theirs map[string]uint64) {
	for domain := range c.state.digests {
		if _, ok := theirs[domain]; !ok {
			theirs[domain] = 0
		}
	}
}

func (c *nodeCore) domainDigest(domain string) *domainDigest {
	if digest, ok := c.state.digests[domain]; ok {
		return digest
	}
	return &domainDigest{}
}

func (c *nodeCore) sendBuckets(to netip.AddrPort, domain string) {
	digest := c.domainDigest(domain)
	buckets := &pb.Buckets{Domain: domain, Digests: make([]uint32, bucketCount)}
	for i, value := range digest.buckets {
		buckets.Digests[i] = uint32(value)
	}
	c.send(to, &pb.Envelope{Body: &pb.Envelope_Buckets{Buckets: buckets}})
}

// handleBuckets sends the entries of buckets that differ and requests those of
// the sender.
func (c *nodeCore) handleBuckets(from netip.AddrPort, buckets *pb.Buckets) {
	if len(buckets.Digests) != bucketCount || !validName(buckets.Domain) {
		return
	}
	digest := c.domainDigest(buckets.Domain)
	want := &pb.Want{Domain: buckets.Domain}
	for i, value := range digest.buckets {
		if uint32(value) != buckets.Digests[i] {
			want.Buckets = append(want.Buckets, uint32(i))
		}
	}
	if len(want.Buckets) == 0 {
		return
	}
	c.send(from, &pb.Envelope{Body: &pb.Envelope_Want{Want: want}})
	c.sendEntries(from, want)
}

// handleWant sends the entries of the requested buckets.
func (c *nodeCore) handleWant(from netip.AddrPort, want *pb.Want) {
	c.sendEntries(from, want)
}

// sendEntries sends the live entries of some buckets, up to the limit of one
// exchange.
func (c *nodeCore) sendEntries(to netip.AddrPort, want *pb.Want) {
	keys := c.entryKeys(want)
	c.random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	for range maxExchangeDatagrams {
		batch := &gossipBatch{}
		for len(keys) > 0 && c.addEntry(batch, keys[0]) {
			keys = keys[1:]
		}
		if batch.empty() {
			return
		}
		c.sendGossip(to, batch.records, batch.peers)
	}
}

// entryKeys returns the keys of the live entries of some buckets, sorted by name.
func (c *nodeCore) entryKeys(want *pb.Want) []entryKey {
	var wanted [bucketCount]bool
	for _, bucket := range want.Buckets {
		if bucket < bucketCount {
			wanted[bucket] = true
		}
	}
	var keys []entryKey
	for name, entry := range c.state.servers {
		if entry.status == statusAlive && entry.record.Domain == want.Domain && wanted[bucketOf(entry.hash)] {
			keys = append(keys, entryKey{server: true, name: name})
		}
	}
	for name, entry := range c.state.peers {
		if entry.status <= statusSuspect && entry.peer.Domain == want.Domain && wanted[bucketOf(^entry.hash)] {
			keys = append(keys, entryKey{name: name})
		}
	}
	slices.SortFunc(keys, compareEntryKeys)
	return keys
}

func compareEntryKeys(a, b entryKey) int {
	if a.server == b.server {
		return strings.Compare(a.name, b.name)
	}
	if a.server {
		return 1
	}
	return -1
}
