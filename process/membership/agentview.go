package membership

import (
	"cmp"
	"slices"
	"time"

	pb "bergamotbank/process/membership/membershippb"
)

// noteView remembers which view the homes have.
func (c *agentCore) noteView(reply *pb.HeartbeatReply) {
	if reply.Ready && reply.Incarnation != 0 {
		c.wanted = reply.View
	}
}

// services returns the services whose view the agent needs.
func (c *agentCore) services() []string {
	services := append([]string{c.self.Service}, c.depends...)
	slices.Sort(services)
	return slices.Compact(services)
}

// setDepends sets the services that the agent needs besides its own.
func (c *agentCore) setDepends(depends []string) {
	sorted := slices.Clone(depends)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if slices.Equal(sorted, c.depends) {
		return
	}
	c.depends = sorted
	c.fetched = false
}

// tickFetch fetches the view of the services when the homes have another one.
func (c *agentCore) tickFetch(now time.Time) {
	differs := c.wanted != c.digest || !c.fetched
	if !differs || c.fetching || now.Before(c.nextFetch) {
		return
	}
	var answering []*home
	for _, h := range c.sortedHomes() {
		if now.Sub(h.answered) <= c.timing.SilentAfter && h.acked(c.self) {
			answering = append(answering, h)
		}
	}
	if len(answering) == 0 {
		return
	}
	c.nextFetch = now.Add(c.jitter(fetchPeriod))
	c.fetching = true
	chosen := answering[c.random.IntN(len(answering))]
	var buckets []uint32
	if c.servers != nil {
		buckets = viewBuckets(c.servers)
	}
	c.act(fetchAction{from: chosen.peer.Control, services: c.services(), buckets: buckets})
}

// fetchDone takes in the view of the services.
func (c *agentCore) fetchDone(now time.Time, response *pb.FetchViewResponse, err error) {
	c.notice(now)
	c.fetching = false
	if err != nil || !response.Ready {
		return
	}
	delta := make([]Record, 0, len(response.Records))
	for _, m := range response.Records {
		record, _, err := recordFromWire(m)
		if err != nil {
			return
		}
		delta = append(delta, record)
	}
	c.servers = applyDelta(c.servers, response.Replaced, delta)
	slices.SortFunc(c.servers, func(a, b Record) int { return cmp.Compare(a.Server, b.Server) })
	digests := serviceDigests(c.servers)
	c.digest = viewDigest(digests, c.self.Service, c.depends)
	c.wanted = c.digest
	if c.digest != response.Digest {
		c.servers = nil
		c.fetched = false
		return
	}
	c.fetched = true
	c.takeContacts(response.Peers)
	c.act(viewAction{})
}

// view returns the snapshot of the needed services and the homes. Servers that
// support no protocol version of this one are left out.
func (c *agentCore) view() View {
	servers := make([]Record, 0, len(c.servers))
	for _, r := range c.servers {
		if _, ok := AgreeProtocol(c.self.MinProtocol, c.self.MaxProtocol, r.MinProtocol, r.MaxProtocol); ok {
			servers = append(servers, r)
		}
	}
	return View{Servers: servers, Peers: c.homePeers()}
}
