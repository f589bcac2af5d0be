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

// serverEntry is the state of a backend server.
type serverEntry struct {
	// record is never modified. It points into the newest view if inView is set, so
	// that a balancer keeps one copy of each record.
	record  *Record
	inView  bool
	status  status
	hash    uint64
	changed time.Time
	// nextAtAddr is the next live server at the same packet address.
	nextAtAddr *serverEntry
}

func (e *serverEntry) compare(r Record, st status) int {
	order := compareVersions(e.record.Incarnation, e.record.Sequence, e.status, r.Incarnation, r.Sequence, st)
	return cmp.Or(order, compareRecords(*e.record, r))
}

// compareRecords breaks the tie between two records with the same version, so that
// every balancer keeps the same one.
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

// peerEntry is the state of a balancer.
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

// state is the merged state of a balancer. Merging is commutative, associative
// and idempotent.
type state struct {
	servers  map[string]*serverEntry
	peers    map[string]*peerEntry
	byAddr   map[uint64]*serverEntry // by packed packet address
	digests  map[string]*domainDigest
	interned map[string]string
	byName   []*serverEntry // all servers by name; nil when stale
	// sharedAddrs is the number of alive servers beyond the first at each address.
	sharedAddrs int
}

func newState() *state {
	return &state{
		servers:  make(map[string]*serverEntry),
		peers:    make(map[string]*peerEntry),
		byAddr:   make(map[uint64]*serverEntry),
		digests:  make(map[string]*domainDigest),
		interned: make(map[string]string),
	}
}

// intern returns one shared copy of a name that many entries contain.
func (s *state) intern(name string) string {
	if shared, ok := s.interned[name]; ok {
		return shared
	}
	name = strings.Clone(name)
	s.interned[name] = name
	return name
}

// mergeServer merges an announcement. It returns 1 if the announcement is newer
// than the entry, 0 if it is the same, -1 if it is older.
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
		s.byName = nil
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

// index adds an alive server to the digests and the address index.
func (s *state) index(e *serverEntry) {
	if e.status != statusAlive {
		return
	}
	s.toggleServer(e)
	key := packAddr(e.record.Packet)
	e.nextAtAddr = s.byAddr[key]
	s.byAddr[key] = e
	if e.nextAtAddr != nil {
		s.sharedAddrs++
	}
}

// unindex removes an alive server from the digests and the address index.
func (s *state) unindex(e *serverEntry) {
	if e.status != statusAlive {
		return
	}
	s.toggleServer(e)
	key := packAddr(e.record.Packet)
	next := e.nextAtAddr
	e.nextAtAddr = nil
	first := s.byAddr[key]
	if first == e && next == nil {
		delete(s.byAddr, key)
		return
	}
	s.sharedAddrs--
	if first == e {
		s.byAddr[key] = next
		return
	}
	first.unlink(e, next)
}

// unlink removes a server that has a predecessor from the list of its address.
func (e *serverEntry) unlink(removed, next *serverEntry) {
	for e.nextAtAddr != removed {
		e = e.nextAtAddr
	}
	e.nextAtAddr = next
}

// superseded returns the alive server of a higher incarnation at the same
// packet address, or nil.
func (s *state) superseded(e *serverEntry) *serverEntry {
	for other := s.byAddr[packAddr(e.record.Packet)]; other != nil; other = other.nextAtAddr {
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

// replacedBy returns an alive server whose packet address is now used by e, or
// nil.
func (s *state) replacedBy(e *serverEntry) *serverEntry {
	for other := s.byAddr[packAddr(e.record.Packet)]; other != nil; other = other.nextAtAddr {
		if other != e && s.superseded(other) != nil {
			return other
		}
	}
	return nil
}

// live reports whether a server belongs in the view.
func (s *state) live(e *serverEntry) bool {
	return e.status == statusAlive && (s.sharedAddrs == 0 || s.superseded(e) == nil)
}

// mergePeer merges an announcement of a balancer, with the results of mergeServer.
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

// removeServer removes a server and its tombstone.
func (s *state) removeServer(e *serverEntry) {
	s.unindex(e)
	delete(s.servers, e.record.Server)
	s.byName = nil
}

// removePeer removes a peer and its tombstone.
func (s *state) removePeer(e *peerEntry) {
	s.togglePeer(e)
	delete(s.peers, e.peer.Name)
}

// toggleServer adds an alive server to the digests or removes it (XOR).
func (s *state) toggleServer(e *serverEntry) {
	s.toggle(e.record.Domain, e.hash, e.record.Incarnation, e.record.Sequence, uint64(e.status))
}

// togglePeer adds a live peer to the digests or removes it (XOR).
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
	if s.byName != nil {
		return s.byName
	}
	s.byName = make([]*serverEntry, 0, len(s.servers))
	for _, e := range s.servers {
		s.byName = append(s.byName, e)
	}
	slices.SortFunc(s.byName, func(a, b *serverEntry) int { return strings.Compare(a.record.Server, b.record.Server) })
	return s.byName
}

// usable reports whether a server belongs in the view of self.
func (s *state) usable(e *serverEntry, self Peer) bool {
	_, ok := AgreeProtocol(self.MinProtocol, self.MaxProtocol, e.record.MinProtocol, e.record.MaxProtocol)
	return ok && s.live(e)
}

// detachFromView copies the record out of an older view, which can then be freed.
func (e *serverEntry) detachFromView() {
	own := *e.record
	e.record = &own
	e.inView = false
}

// view returns a snapshot of all live servers and peers with a protocol version in
// common with self, without self, and the digests of its services. The entries'
// records are moved into it.
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
			e.detachFromView()
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
