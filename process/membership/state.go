package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of digest buckets of a failure domain.
const bucketCount = 256

// serverEntry is what a balancer holds about a backend server.
type serverEntry struct {
	// record is never modified. It lies in the newest view when inView is set, so
	// that a balancer keeps one copy of each record.
	record  *Record
	inView  bool
	status  status
	hash    uint64
	changed time.Time
	// sameAddr is the next live server at the same packet address.
	sameAddr *serverEntry
}

func (e *serverEntry) compare(r Record, st status) int {
	order := compareVersions(e.record.Incarnation, e.record.Sequence, e.status, r.Incarnation, r.Sequence, st)
	return cmp.Or(order, compareRecords(*e.record, r))
}

// compareRecords breaks the tie between two records that claim the same
// version, so that every balancer keeps the same one.
func compareRecords(a, b Record) int {
	return cmp.Or(
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Domain, b.Domain),
		a.Packet.Compare(b.Packet),
		a.Control.Compare(b.Control),
		cmp.Compare(a.State, b.State),
		cmp.Compare(a.Weight, b.Weight),
		cmp.Compare(a.MinProtocol, b.MinProtocol),
		cmp.Compare(a.MaxProtocol, b.MaxProtocol),
	)
}

// peerEntry is what a balancer holds about a balancer.
type peerEntry struct {
	peer    Peer
	status  status
	hash    uint64
	changed time.Time
}

func (e *peerEntry) compare(p Peer, st status) int {
	return cmp.Or(
		compareVersions(e.peer.Incarnation, 0, e.status, p.Incarnation, 0, st),
		strings.Compare(e.peer.Domain, p.Domain),
		e.peer.Packet.Compare(p.Packet),
		e.peer.Control.Compare(p.Control),
		cmp.Compare(e.peer.MinProtocol, p.MinProtocol),
		cmp.Compare(e.peer.MaxProtocol, p.MaxProtocol),
	)
}

// domainDigest is the digest of the live entries of a failure domain.
type domainDigest struct {
	total   uint64
	buckets [bucketCount]uint64
}

// state is the merged knowledge of a balancer. Merging is commutative,
// associative and idempotent.
type state struct {
	servers map[string]*serverEntry
	peers   map[string]*peerEntry
	addrs   map[uint64]*serverEntry // by packed packet address
	digests map[string]*domainDigest
	names   map[string]string
	order   []*serverEntry // all servers by name; nil when stale
	// shared is the number of alive servers beyond the first at each address.
	shared int
}

func newState() *state {
	return &state{
		servers: make(map[string]*serverEntry),
		peers:   make(map[string]*peerEntry),
		addrs:   make(map[uint64]*serverEntry),
		digests: make(map[string]*domainDigest),
		names:   make(map[string]string),
	}
}

// intern returns one shared copy of a name that many entries carry.
func (s *state) intern(name string) string {
	if shared, ok := s.names[name]; ok {
		return shared
	}
	name = strings.Clone(name)
	s.names[name] = name
	return name
}

// mergeServer takes in an announcement. It returns 1 when the announcement is
// newer than what was known, 0 when it is known, -1 when it is older.
func (s *state) mergeServer(r Record, st status, now time.Time) int {
	entry, known := s.servers[r.Server]
	if known {
		if order := entry.compare(r, st); order >= 0 {
			return -order
		}
		s.unindex(entry)
	} else {
		entry = &serverEntry{hash: xxhash.Sum64String(r.Server)}
		s.servers[r.Server] = entry
		s.order = nil
	}
	r.Service = s.intern(r.Service)
	r.Domain = s.intern(r.Domain)
	if known {
		r.Server = entry.record.Server
	}
	entry.record = &r
	entry.inView = false
	entry.status = st
	entry.changed = now
	s.index(entry)
	return 1
}

// index puts an alive server into the digests and the addresses.
func (s *state) index(e *serverEntry) {
	if e.status != statusAlive {
		return
	}
	s.toggleServer(e)
	key := packAddr(e.record.Packet)
	e.sameAddr = s.addrs[key]
	s.addrs[key] = e
	if e.sameAddr != nil {
		s.shared++
	}
}

// unindex takes an alive server out of the digests and the addresses.
func (s *state) unindex(e *serverEntry) {
	if e.status != statusAlive {
		return
	}
	s.toggleServer(e)
	key := packAddr(e.record.Packet)
	next := e.sameAddr
	e.sameAddr = nil
	first := s.addrs[key]
	if first == e && next == nil {
		delete(s.addrs, key)
		return
	}
	s.shared--
	if first == e {
		s.addrs[key] = next
		return
	}
	first.unlink(e, next)
}

// unlink takes a server that has a predecessor out of the list of an address.
func (e *serverEntry) unlink(removed, next *serverEntry) {
	for e.sameAddr != removed {
		e = e.sameAddr
	}
	e.sameAddr = next
}

// superseded returns the alive server of a higher incarnation at the same
// packet address, or nil.
func (s *state) superseded(e *serverEntry) *serverEntry {
	for other := s.addrs[packAddr(e.record.Packet)]; other != nil; other = other.sameAddr {
		order := cmp.Or(
			cmp.Compare(other.record.Incarnation, e.record.Incarnation),
			cmp.Compare(other.hash, e.hash),
		)
		if order > 0 {
			return other
		}
	}
	return nil
}

// replacedBy returns an alive server whose packet address the given one has
// taken over, or nil.
func (s *state) replacedBy(e *serverEntry) *serverEntry {
	for other := s.addrs[packAddr(e.record.Packet)]; other != nil; other = other.sameAddr {
		if other != e && s.superseded(other) != nil {
			return other
		}
	}
	return nil
}

// live tells whether a server belongs into the view.
func (s *state) live(e *serverEntry) bool {
	return e.status == statusAlive && (s.shared == 0 || s.superseded(e) == nil)
}

// mergePeer takes in an announcement of a balancer, with results as those of
// mergeServer.
func (s *state) mergePeer(p Peer, st status, now time.Time) int {
	entry, known := s.peers[p.Name]
	if known {
		if order := entry.compare(p, st); order >= 0 {
			return -order
		}
		s.togglePeer(entry)
	} else {
		entry = &peerEntry{hash: xxhash.Sum64String(p.Name)}
		s.peers[p.Name] = entry
	}
	p.Domain = s.intern(p.Domain)
	entry.peer = p
	entry.status = st
	entry.changed = now
	s.togglePeer(entry)
	return 1
}

// removeServer drops a server for good.
func (s *state) removeServer(e *serverEntry) {
	s.unindex(e)
	delete(s.servers, e.record.Server)
	s.order = nil
}

// removePeer drops a peer for good.
func (s *state) removePeer(e *peerEntry) {
	s.togglePeer(e)
	delete(s.peers, e.peer.Name)
}

// toggleServer adds an alive server to the digests or takes it out again.
func (s *state) toggleServer(e *serverEntry) {
	s.toggle(e.record.Domain, e.hash, e.record.Incarnation, e.record.Sequence, uint64(e.status))
}

// togglePeer adds a live peer to the digests or takes it out again.
func (s *state) togglePeer(e *peerEntry) {
	if e.status > statusSuspect {
		return
	}
	s.toggle(e.peer.Domain, ^e.hash, e.peer.Incarnation, 0, uint64(e.status))
}

func (s *state) toggle(domain string, nameHash, incarnation, sequence, st uint64) {
	digest, ok := s.digests[domain]
	if !ok {
		digest = &domainDigest{}
		s.digests[domain] = digest
	}
	value := entryDigest(nameHash, incarnation, sequence, st)
	digest.buckets[bucketOf(nameHash)] ^= value
	digest.total ^= value
}

func entryDigest(nameHash, incarnation, sequence, st uint64) uint64 {
	var buffer [32]byte
	binary.LittleEndian.PutUint64(buffer[0:], nameHash)
	binary.LittleEndian.PutUint64(buffer[8:], incarnation)
	binary.LittleEndian.PutUint64(buffer[16:], sequence)
	binary.LittleEndian.PutUint64(buffer[24:], st)
	return xxhash.Sum64(buffer[:])
}

func bucketOf(nameHash uint64) uint32 {
	return uint32(nameHash % bucketCount)
}

// total returns the digest of the whole state.
func (s *state) total() uint64 {
	var sum uint64
	for domain, digest := range s.digests {
		if digest.total != 0 {
			sum ^= mix(digest.total, xxhash.Sum64String(domain))
		}
	}
	return sum
}

// sorted returns all servers by name. The result must not be modified.
func (s *state) sorted() []*serverEntry {
	if s.order != nil {
		return s.order
	}
	s.order = make([]*serverEntry, 0, len(s.servers))
	for _, e := range s.servers {
		s.order = append(s.order, e)
	}
	slices.SortFunc(s.order, func(a, b *serverEntry) int { return strings.Compare(a.record.Server, b.record.Server) })
	return s.order
}

// usable tells whether a server belongs into the view of self.
func (s *state) usable(e *serverEntry, self Peer) bool {
	_, ok := AgreeProtocol(self.MinProtocol, self.MaxProtocol, e.record.MinProtocol, e.record.MaxProtocol)
	return ok && s.live(e)
}

// leaveView takes the record out of an older view, which can then be freed.
func (e *serverEntry) leaveView() {
	own := *e.record
	e.record = &own
	e.inView = false
}

// view returns a snapshot of what is alive and supports a protocol version of
// self, without self, and the digests of its services. The entries' records move
// into it.
func (s *state) view(self Peer) (View, map[string]uint64) {
	order := s.sorted()
	live := 0
	for _, e := range order {
		if s.usable(e, self) {
			live++
		}
	}
	view := View{
		Servers: make([]Record, 0, live),
		Peers:   make([]Peer, 0, len(s.peers)),
	}
	digests := make(map[string]uint64, len(s.digests))
	for _, e := range order {
		if s.usable(e, self) {
			digests[e.record.Service] ^= entryDigest(e.hash, e.record.Incarnation, e.record.Sequence, 0)
			view.Servers = append(view.Servers, *e.record)
			e.record = &view.Servers[len(view.Servers)-1]
			e.inView = true
		} else if e.inView {
			e.leaveView()
		}
	}
	for name, e := range s.peers {
		_, ok := AgreeProtocol(self.MinProtocol, self.MaxProtocol, e.peer.MinProtocol, e.peer.MaxProtocol)
		if ok && name != self.Name && e.status <= statusSuspect {
			view.Peers = append(view.Peers, e.peer)
		}
	}
	slices.SortFunc(view.Peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return view, digests
}
