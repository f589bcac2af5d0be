package membership

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	pb "bergamotbank/process/membership/membershippb"
)

const (
	// gossipFanout is the number of balancers to which a change is pushed.
	gossipFanout = 4
	// remoteGossip is how many of them are of other failure domains.
	remoteGossip = 1
	// gossipDatagrams is the largest number of datagrams pushed to one balancer
	// in one period.
	gossipDatagrams = 4
	// envelopeOverhead is the room in bytes that a datagram needs besides its
	// entries.
	envelopeOverhead = 120
	// entryOverhead is the room in bytes that the framing of an entry needs.
	entryOverhead = 4
)

// rumorKey names an entry that has changed.
type rumorKey struct {
	server bool
	name   string
}

// rumors are the changes that wait to be pushed, oldest first.
type rumors struct {
	next   time.Time
	queue  []rumorKey
	queued map[rumorKey]bool
}

func newRumors() rumors {
	return rumors{queued: make(map[rumorKey]bool)}
}

func (r *rumors) add(key rumorKey) {
	if !r.queued[key] {
		r.queued[key] = true
		r.queue = append(r.queue, key)
	}
}

// pop takes the oldest change.
func (r *rumors) pop() (rumorKey, bool) {
	if len(r.queue) == 0 {
		r.queue = nil
		return rumorKey{}, false
	}
	key := r.queue[0]
	r.queue = r.queue[1:]
	delete(r.queued, key)
	return key, true
}

// tickGossip pushes the waiting changes to a few balancers. Each change is
// pushed once; who misses it gets it by anti-entropy.
func (c *nodeCore) tickGossip(now time.Time) {
	if len(c.rumors.queue) == 0 || now.Before(c.rumors.next) {
		return
	}
	c.rumors.next = now.Add(c.timing.Gossip)
	targets := c.gossipTargets()
	if len(targets) == 0 {
		return
	}
	for range gossipDatagrams {
		batch := c.nextBatch()
		if batch.empty() {
			return
		}
		for _, target := range targets {
			c.sendGossip(target.peer.Control, batch.records, batch.peers)
		}
	}
}

// gossipTargets chooses balancers, most of them of the own failure domain.
func (c *nodeCore) gossipTargets() []*peerEntry {
	local := c.chooseTargets(gossipFanout-remoteGossip, true)
	rest := c.chooseTargets(gossipFanout, false)
	for _, candidate := range rest {
		if len(local) == gossipFanout {
			break
		}
		if !containsPeer(local, candidate) {
			local = append(local, candidate)
		}
	}
	return local
}

func containsPeer(peers []*peerEntry, wanted *peerEntry) bool {
	for _, peer := range peers {
		if peer == wanted {
			return true
		}
	}
	return false
}

// chooseTargets returns up to count live balancers at random: of the own
// failure domain, or of any other when local is false. Where one kind is
// missing the other takes its place.
func (c *nodeCore) chooseTargets(count int, local bool) []*peerEntry {
	wanted := c.otherPeers(local)
	if len(wanted) == 0 {
		wanted = c.otherPeers(!local)
	}
	return wanted[:min(count, len(wanted))]
}

// otherPeers returns the live balancers inside or outside the own failure
// domain, in random order.
func (c *nodeCore) otherPeers(local bool) []*peerEntry {
	var chosen []*peerEntry
	for _, entry := range c.livePeers() {
		if (entry.peer.Domain == c.self.Domain) == local {
			chosen = append(chosen, entry)
		}
	}
	c.random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen
}

// gossipBatch is the content of one datagram.
type gossipBatch struct {
	records []*pb.Record
	peers   []*pb.Peer
	size    int
}

func (b *gossipBatch) empty() bool {
	return len(b.records) == 0 && len(b.peers) == 0
}

// addRecord takes in a record when it fits.
func (b *gossipBatch) addRecord(record *pb.Record) bool {
	size := proto.Size(record) + entryOverhead
	if b.size+size > maxDatagram-envelopeOverhead {
		return false
	}
	b.size += size
	b.records = append(b.records, record)
	return true
}

// addPeer takes in a peer when it fits.
func (b *gossipBatch) addPeer(peer *pb.Peer) bool {
	size := proto.Size(peer) + entryOverhead
	if b.size+size > maxDatagram-envelopeOverhead {
		return false
	}
	b.size += size
	b.peers = append(b.peers, peer)
	return true
}

// nextBatch takes as many waiting changes as fit into one datagram.
func (c *nodeCore) nextBatch() *gossipBatch {
	batch := &gossipBatch{}
	for {
		key, ok := c.rumors.pop()
		if !ok {
			return batch
		}
		if !c.addEntry(batch, key) {
			c.rumors.add(key)
			return batch
		}
	}
}

// addEntry puts the present version of an entry into a batch. It returns false
// when the entry does not fit.
func (c *nodeCore) addEntry(batch *gossipBatch, key rumorKey) bool {
	if key.server {
		entry, ok := c.state.servers[key.name]
		return !ok || batch.addRecord(recordToWire(*entry.record, entry.status))
	}
	entry, ok := c.state.peers[key.name]
	return !ok || batch.addPeer(peerToWire(entry.peer, entry.status))
}

func (c *nodeCore) sendGossip(to netip.AddrPort, records []*pb.Record, peers []*pb.Peer) {
	c.send(to, &pb.Envelope{Body: &pb.Envelope_Gossip{Gossip: &pb.Gossip{Records: records, Peers: peers}}})
}

// handleGossip takes in changes. The sender of an old version gets the newer one.
func (c *nodeCore) handleGossip(now time.Time, from netip.AddrPort, gossip *pb.Gossip) {
	stale := c.mergeEntries(now, gossip.Records, gossip.Peers)
	if !stale.empty() {
		c.sendGossip(from, stale.records, stale.peers)
	}
}

// mergeEntries takes in records and peers. It returns the newer versions of
// those that were old, as many as fit into one datagram.
func (c *nodeCore) mergeEntries(now time.Time, records []*pb.Record, peers []*pb.Peer) *gossipBatch {
	stale := &gossipBatch{}
	for _, m := range peers {
		peer, st, err := peerFromWire(m)
		if err == nil && c.mergePeer(now, peer, st) < 0 {
			c.addEntry(stale, rumorKey{name: peer.Name})
		}
	}
	for _, m := range records {
		record, st, err := recordFromWire(m)
		if err == nil && c.mergeRecord(now, record, st) < 0 {
			c.addEntry(stale, rumorKey{server: true, name: record.Server})
		}
	}
	return stale
}
