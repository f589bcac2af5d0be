package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	pb "bergamotbank/process/membership/membershippb"
)

// pullPeriod is the period in which a joining balancer asks the next balancer
// for the whole state.
const pullPeriod = 500 * time.Millisecond

// joinHeartbeats is the number of heartbeat periods for which a balancer
// without ready peers listens before it serves.
const joinHeartbeats = 2

// joinAnswers is the number of balancers that must be as empty as this one
// before it serves; fewer when fewer are known.
const joinAnswers = 5

// joining is the way of a balancer with empty memory to readiness.
type joining struct {
	ready bool
	// directoryPending tells that the directory has not been read yet.
	directoryPending bool
	// candidates are addresses of balancers from settings, directory and peers.
	candidates []*joinCandidate
	nextPull   time.Time
	nextIndex  int
	// readyPeer is a balancer that said that it is ready. It must then be asked.
	readyPeer netip.AddrPort
}

// joinCandidate is a balancer that may hold the whole state.
type joinCandidate struct {
	addr netip.AddrPort
	// answered tells that the balancer has given its state while not ready itself.
	answered bool
}

// add takes in addresses of balancers; the own one is left out.
func (j *joining) add(addrs []netip.AddrPort, own netip.AddrPort) {
	for _, addr := range addrs {
		known := slices.ContainsFunc(j.candidates, func(c *joinCandidate) bool { return c.addr == addr })
		if addr != own && !known {
			j.candidates = append(j.candidates, &joinCandidate{addr: addr})
		}
	}
}

// restart begins again after a pause of the process.
func (j *joining) restart(now time.Time) {
	j.ready = false
	j.nextPull = now
	j.readyPeer = netip.AddrPort{}
	for _, candidate := range j.candidates {
		candidate.answered = false
	}
}

// noteReady remembers a ready balancer, which is asked next.
func (j *joining) noteReady(addr netip.AddrPort) {
	if !j.ready && !j.readyPeer.IsValid() {
		j.readyPeer = addr
		j.nextPull = time.Time{}
	}
}

// allEmpty tells whether enough balancers have answered, none of them ready.
func (j *joining) allEmpty() bool {
	answered := 0
	for _, candidate := range j.candidates {
		if candidate.answered {
			answered++
		}
	}
	enough := answered >= min(len(j.candidates), joinAnswers)
	return enough && !j.directoryPending && !j.readyPeer.IsValid()
}

// next returns the address of the balancer to ask next.
func (j *joining) next() (netip.AddrPort, bool) {
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
	from, found := c.join.next()
	if found {
		c.join.nextPull = now.Add(pullPeriod)
		c.act(pullAction{from: from})
	}
}

// decideReady declares the balancer ready without a ready peer when its
// candidates are as empty as this one, or when none answers for long.
func (c *nodeCore) decideReady(now time.Time) {
	listened := now.Sub(c.started)
	if listened < joinHeartbeats*c.timing.Heartbeat {
		return
	}
	if c.join.allEmpty() || listened >= c.timing.JoinTimeout {
		c.becomeReady(now)
	}
}

func (c *nodeCore) becomeReady(now time.Time) {
	c.join.ready = true
	c.silence.restart(now)
	c.viewStale = true
}

// pullDone takes in the end of a pull. ready tells whether the balancer that
// answered was ready itself.
func (c *nodeCore) pullDone(now time.Time, from netip.AddrPort, ready bool, err error) {
	c.notice(now)
	for _, candidate := range c.join.candidates {
		if candidate.addr == from {
			candidate.answered = err == nil
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

// mergePage takes in one page of another balancer's state. Entries that do not
// decode are left out.
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

// page returns the page of the state after a cursor. Peers come with the first
// page, records in the order of their names.
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
