package membership

import (
	"cmp"
	"slices"
	"time"

	pb "bergamotbank/process/membership/membershippb"
)

// noteViewDigest stores the digest of the view that the homes have.
func (c *agentCore) noteViewDigest(reply *pb.HeartbeatReply) {
	if reply.Ready && reply.Incarnation != 0 {
		c.homeDigest = reply.View
	}
}

// services returns the services whose view the agent needs.
func (c *agentCore) services() []string {
	services := append([]string{c.self.Service}, c.dependsOn...)
	slices.Sort(services)
	return slices.Compact(services)
}

// setDependsOn sets the services that the agent needs besides its own.
func (c *agentCore) setDependsOn(dependsOn []string) {
	sorted := slices.Clone(dependsOn)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if slices.Equal(sorted, c.dependsOn) {
		return
	}
	c.dependsOn = sorted
	c.fetched = false
}

// tickFetch fetches the view of the services when it differs from that of the homes.
func (c *agentCore) tickFetch(now time.Time) {
	differs := c.homeDigest != c.digest || !c.fetched
	if !differs || c.fetching || now.Before(c.nextFetch) {
		return
	}
	var responsive []*home
	for _, h := range c.sortedHomes() {
		if now.Sub(h.lastReply) <= c.timing.HeartbeatTimeout && h.acked(c.self) {
			responsive = append(responsive, h)
		}
	}
	if len(responsive) == 0 {
		return
	}
	c.nextFetch = now.Add(c.jitter(minFetchInterval))
	c.fetching = true
	chosen := responsive[c.random.IntN(len(responsive))]
	var buckets []uint32
	if c.servers != nil {
		buckets = viewBuckets(c.servers)
	}
	c.emit(fetchAction{from: chosen.peer.Control, services: c.services(), buckets: buckets})
}

// fetchDone handles the result of a fetch of the view.
func (c *agentCore) fetchDone(now time.Time, response *pb.FetchViewResponse, err error) {
	c.detectPause(now)
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
	c.digest = viewDigest(digests, c.self.Service, c.dependsOn)
	c.homeDigest = c.digest
	if c.digest != response.Digest {
		c.servers = nil
		c.fetched = false
		return
	}
	c.fetched = true
	c.addContactPeers(response.Peers)
	c.emit(publishViewAction{})
}

// view returns the snapshot of the needed services and the homes. Servers without
// a protocol version in common with this agent are omitted.
func (c *agentCore) view() View {
	servers := make([]Record, 0, len(c.servers))
	for _, r := range c.servers {
		if _, ok := AgreeProtocol(c.self.MinProtocol, c.self.MaxProtocol, r.MinProtocol, r.MaxProtocol); ok {
			servers = append(servers, r)
		}
	}
	return View{Servers: servers, Peers: c.homePeers()}
}
