package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	pb "bergamotbank/process/membership/membershippb"
)

// pullInterval is the time between two requests of a joining balancer for the
// whole state, each to the next candidate.
const pullInterval = 500 * time.Millisecond

// joinWaitHeartbeats is the number of heartbeat periods for which a balancer
// without ready peers waits for heartbeats before it becomes ready.
const joinWaitHeartbeats = 2

// minJoinReplies is the number of candidates that must have replied, none of
// them ready, before a balancer becomes ready on its own; fewer if fewer are known.
const minJoinReplies = 5

// joinState tracks how a balancer without state becomes ready.
type joinState struct {
	ready bool
	// directoryPending is true if the directory has not been read yet.
	directoryPending bool
	// candidates are balancers from the settings, the directory and the peers.
	candidates []*joinCandidate
	nextPull   time.Time
	nextIndex  int
	// readyPeer is a balancer that has announced that it is ready; it is tried first.
	readyPeer netip.AddrPort
}

// joinCandidate is a balancer that may hold the whole state.
type joinCandidate struct {
	addr netip.AddrPort
	// replied is true if the last pull from the balancer succeeded.
	replied bool
}

// add adds addresses of balancers except this balancer's own.
func (j *joinState) add(addrs []netip.AddrPort, own netip.AddrPort) {
	for _, addr := range addrs {
		known := slices.ContainsFunc(j.candidates, func(c *joinCandidate) bool { return c.addr == addr })
		if addr != own && !known {
			j.candidates = append(j.candidates, &joinCandidate{addr: addr})
		}
	}
}

// restart starts over after a pause of the process.
func (j *joinState) restart(now time.Time) {
	j.ready = false
	j.nextPull = now
	j.readyPeer = netip.AddrPort{}
	for _, candidate := range j.candidates {
		candidate.replied = false
	}
}

// noteReadyPeer stores a ready balancer, which is tried next.
func (j *joinState) noteReadyPeer(addr netip.AddrPort) {
	if !j.ready && !j.readyPeer.IsValid() {
		j.readyPeer = addr
		j.nextPull = time.Time{}
	}
}

// noneReady reports whether enough balancers have replied, none of them ready.
func (j *joinState) noneReady() bool {
	replied := 0
	for _, candidate := range j.candidates {
		if candidate.replied {
			replied++
		}
	}
	enough := replied >= min(len(j.candidates), minJoinReplies)
	return enough && !j.directoryPending && !j.readyPeer.IsValid()
}

// nextCandidate returns the address of the next balancer to pull from.
func (j *joinState) nextCandidate() (netip.AddrPort, bool) {
	if j.readyPeer.IsValid() {
		return j.readyPeer, true
	}
	if len(j.candidates) == 0 {
		return netip.AddrPort{}, false
	}
	candidate := j.candidates[j.nextIndex%len(j.candidates)]
	j.nextIndex++
	return candidate.addr, true
}

// tickJoin pulls the state from the next candidate and decides on readiness.
func (c *nodeCore) tickJoin(now time.Time) {
	if c.join.ready {
		return
	}
	for _, peer := range c.livePeers() {
		c.join.add([]netip.AddrPort{peer.peer.Control}, c.self.Control)
	}
	c.decideReady(now)
	if c.join.ready || now.Before(c.join.nextPull) {
		return
	}
	from, found := c.join.nextCandidate()
	if found {
		c.join.nextPull = now.Add(pullInterval)
		c.emit(pullAction{from: from})
	}
}

// decideReady makes the balancer ready without a ready peer if its candidates are
// not ready either, or if none replies within JoinTimeout.
func (c *nodeCore) decideReady(now time.Time) {
	elapsed := now.Sub(c.started)
	if elapsed < joinWaitHeartbeats*c.timing.Heartbeat {
		return
	}
	if c.join.noneReady() || elapsed >= c.timing.JoinTimeout {
		c.becomeReady(now)
	}
}

func (c *nodeCore) becomeReady(now time.Time) {
	c.join.ready = true
	c.silence.restart(now)
	c.viewStale = true
}

// pullDone handles the end of a pull. ready is true if the balancer that replied
// was ready itself.
func (c *nodeCore) pullDone(now time.Time, from netip.AddrPort, ready bool, err error) {
	c.detectPause(now)
	for _, candidate := range c.join.candidates {
		if candidate.addr == from {
			candidate.replied = err == nil
		}
	}
	if err != nil || !ready {
		c.join.readyPeer = netip.AddrPort{}
		return
	}
	if !c.join.ready {
		c.becomeReady(now)
	}
}

// mergePage merges one page of another balancer's state. Invalid entries are
// skipped.
func (c *nodeCore) mergePage(now time.Time, page *pb.PullResponse) {
	if page.Self != nil {
		if peer, st, err := peerFromWire(page.Self); err == nil {
			c.mergePeer(now, peer, st)
		}
	}
	c.mergeEntries(now, page.Records, page.Peers)
}

// pageEntries is the number of entries in one page of the whole state.
const pageEntries = 2000

// page returns the page of the state after a cursor. Peers are in the first page,
// records are sorted by name.
func (c *nodeCore) page(cursor string) *pb.PullResponse {
	response := &pb.PullResponse{Self: peerToWire(c.self, statusAlive), Ready: c.join.ready}
	if cursor == "" {
		for _, entry := range c.state.peers {
			response.Peers = append(response.Peers, peerToWire(entry.peer, entry.status))
		}
	}
	servers := c.state.sorted()
	start, found := slices.BinarySearchFunc(servers, cursor, compareEntryName)
	if found {
		start++
	}
	end := min(start+pageEntries, len(servers))
	for _, entry := range servers[start:end] {
		response.Records = append(response.Records, recordToWire(*entry.record, entry.status))
	}
	if end < len(servers) {
		response.Next = servers[end-1].record.Server
	}
	return response
}

func compareEntryName(entry *serverEntry, name string) int {
	return strings.Compare(entry.record.Server, name)
}
