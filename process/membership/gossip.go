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
	// remoteGossipTargets is how many of them are in other failure domains.
	remoteGossipTargets = 1
	// maxGossipDatagrams is the maximum number of datagrams pushed to one balancer
	// in one period.
	maxGossipDatagrams = 4
	// envelopeOverhead is the number of bytes in a datagram besides its entries.
	envelopeOverhead = 120
	// entryOverhead is the number of bytes for the framing of an entry.
	entryOverhead = 4
)

// entryKey identifies an entry of the state.
type entryKey struct {
	server bool
	name   string
}

// gossipQueue holds the keys of changed entries to be pushed, oldest first.
type gossipQueue struct {
	next   time.Time
	keys   []entryKey
	queued map[entryKey]bool
}

func newGossipQueue() gossipQueue {
	return gossipQueue{queued: make(map[entryKey]bool)}
}

func (q *gossipQueue) add(key entryKey) {
	if !q.queued[key] {
		q.queued[key] = true
		q.keys = append(q.keys, key)
	}
}

// pop removes and returns the oldest key.
func (q *gossipQueue) pop() (entryKey, bool) {
	if len(q.keys) == 0 {
		q.keys = nil
		return entryKey{}, false
	}
	key := q.keys[0]
	q.keys = q.keys[1:]
	delete(q.queued, key)
	return key, true
}

// tickGossip pushes queued changes to a few balancers. Each change is pushed
// once; a balancer that misses it receives it by anti-entropy.
func (c *nodeCore) tickGossip(now time.Time) {
	if len(c.gossipQueue.keys) == 0 || now.Before(c.gossipQueue.next) {
		return
	}
	c.gossipQueue.next = now.Add(c.timing.Gossip)
	targets := c.gossipTargets()
	if len(targets) == 0 {
		return
	}
	for range maxGossipDatagrams {
		batch := c.nextBatch()
		if batch.empty() {
			return
		}
		for _, target := range targets {
			c.sendGossip(target.peer.Control, batch.records, batch.peers)
		}
	}
}

// gossipTargets selects balancers, most of them in this balancer's failure domain.
func (c *nodeCore) gossipTargets() []*peerEntry {
	local := c.chooseTargets(gossipFanout-remoteGossipTargets, true)
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

// chooseTargets returns up to count live balancers at random: in this balancer's failure
// domain, or in any other if local is false. If there are none of one kind, the
// other kind is used.
func (c *nodeCore) chooseTargets(count int, local bool) []*peerEntry {
	wanted := c.shuffledPeers(local)
	if len(wanted) == 0 {
		wanted = c.shuffledPeers(!local)
	}
	return wanted[:min(count, len(wanted))]
}

// shuffledPeers returns the live balancers inside or outside this balancer's failure
// domain, in random order.
func (c *nodeCore) shuffledPeers(local bool) []*peerEntry {
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

// addRecord adds a record if it fits.
func (b *gossipBatch) addRecord(record *pb.Record) bool {
	size := proto.Size(record) + entryOverhead
	if b.size+size > maxDatagram-envelopeOverhead {
		return false
	}
	b.size += size
	b.records = append(b.records, record)
	return true
}

// addPeer adds a peer if it fits.
func (b *gossipBatch) addPeer(peer *pb.Peer) bool {
	size := proto.Size(peer) + entryOverhead
	if b.size+size > maxDatagram-envelopeOverhead {
		return false
	}
	b.size += size
	b.peers = append(b.peers, peer)
	return true
}

// nextBatch dequeues as many changes as fit into one datagram.
func (c *nodeCore) nextBatch() *gossipBatch {
	batch := &gossipBatch{}
	for {
		key, ok := c.gossipQueue.pop()
		if !ok {
			return batch
		}
		if !c.addEntry(batch, key) {
			c.gossipQueue.add(key)
			return batch
		}
	}
}

// addEntry adds the current version of an entry to a batch. It returns false if
// the entry does not fit.
func (c *nodeCore) addEntry(batch *gossipBatch, key entryKey) bool {
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

// handleGossip merges changes. The sender of an outdated version gets the newer one.
func (c *nodeCore) handleGossip(now time.Time, from netip.AddrPort, gossip *pb.Gossip) {
	newer := c.mergeEntries(now, gossip.Records, gossip.Peers)
	if !newer.empty() {
		c.sendGossip(from, newer.records, newer.peers)
	}
}

// mergeEntries merges records and peers. It returns the newer versions of the
// outdated ones, as many as fit into one datagram.
func (c *nodeCore) mergeEntries(now time.Time, records []*pb.Record, peers []*pb.Peer) *gossipBatch {
	newer := &gossipBatch{}
	for _, m := range peers {
		peer, st, err := peerFromWire(m)
		if err == nil && c.mergePeer(now, peer, st) < 0 {
			c.addEntry(newer, entryKey{name: peer.Name})
		}
	}
	for _, m := range records {
		record, st, err := recordFromWire(m)
		if err == nil && c.mergeRecord(now, record, st) < 0 {
			c.addEntry(newer, entryKey{server: true, name: record.Server})
		}
	}
	return newer
}
