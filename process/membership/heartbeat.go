package membership

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "bergamotbank/process/membership/membershippb"
)

// handleHeartbeat processes a heartbeat and replies to it.
func (c *nodeCore) handleHeartbeat(now time.Time, from netip.AddrPort, server string, heartbeat *pb.Heartbeat) {
	leaving := c.mergeAnnouncement(now, server, heartbeat.Record)
	entry, known := c.state.servers[server]
	if leaving {
		delete(c.silence.heartbeats, server)
	} else if !known || heartbeat.Incarnation >= entry.record.Incarnation {
		c.silence.heartbeats[server] = receivedHeartbeat{at: now, from: from, incarnation: heartbeat.Incarnation}
		c.forwardHeartbeat(from, server, heartbeat.Incarnation)
	}
	reply := c.heartbeatReply(server, heartbeat)
	c.send(from, &pb.Envelope{Body: &pb.Envelope_HeartbeatReply{HeartbeatReply: reply}})
}

// forwardHeartbeat informs the homes of a server about its heartbeat if this
// balancer is not one of them: an agent uses other balancers only while it reaches
// no home.
func (c *nodeCore) forwardHeartbeat(from netip.AddrPort, server string, incarnation uint64) {
	entry, known := c.state.servers[server]
	if !known {
		return
	}
	homes := c.homesOf(entry.hash, entry.record.Domain)
	if containsPeer(homes, c.state.peers[c.self.Name]) {
		return
	}
	for _, home := range homes {
		c.send(home.peer.Control, &pb.Envelope{Body: &pb.Envelope_Heard{Heard: &pb.Heard{
			Server:      server,
			Incarnation: incarnation,
			Agent:       endpointToWire(from),
		}}})
	}
}

// handleHeard processes a heartbeat that was received by another balancer.
func (c *nodeCore) handleHeard(now time.Time, heard *pb.Heard) {
	agent, err := endpointFromWire(heard.Agent)
	entry, known := c.state.servers[heard.Server]
	if err != nil || !known || heard.Incarnation < entry.record.Incarnation {
		return
	}
	c.silence.heartbeats[entry.record.Server] = receivedHeartbeat{at: now, from: agent, incarnation: heard.Incarnation}
}

// mergeAnnouncement merges the record of a heartbeat. It reports whether the
// server leaves.
func (c *nodeCore) mergeAnnouncement(now time.Time, server string, m *pb.Record) bool {
	if m == nil || m.Server != server {
		return false
	}
	record, st, err := recordFromWire(m)
	if err != nil {
		return false
	}
	if st != statusGone {
		st = statusAlive
	}
	c.mergeRecord(now, record, st)
	return st == statusGone
}

func (c *nodeCore) heartbeatReply(server string, heartbeat *pb.Heartbeat) *pb.HeartbeatReply {
	reply := &pb.HeartbeatReply{Server: serverNameHash(server), Ready: c.join.ready}
	entry, known := c.state.servers[server]
	if !known {
		reply.WantRecord = true
		return reply
	}
	reply.Incarnation = entry.record.Incarnation
	reply.Sequence = entry.record.Sequence
	order := compareVersions(entry.record.Incarnation, entry.record.Sequence, 0, heartbeat.Incarnation, heartbeat.Sequence, 0)
	reply.WantRecord = order < 0
	reply.RefuteIncarnation, reply.RefuteSequence = c.refutation(entry, heartbeat.Incarnation)
	reply.View = viewDigest(c.viewDigests, entry.record.Service, heartbeat.DependsOn)
	homes := c.homesOf(entry.hash, entry.record.Domain)
	names := make([]string, 0, homeCount)
	for _, home := range homes {
		names = append(names, home.peer.Name)
	}
	if homesHash(names) != heartbeat.Homes {
		for _, home := range homes {
			reply.Homes = append(reply.Homes, peerToWire(home.peer, home.status))
		}
	}
	return reply
}

// refutation returns the version that the agent must exceed to be considered
// alive, or zeros.
func (c *nodeCore) refutation(entry *serverEntry, incarnation uint64) (uint64, uint64) {
	if entry.record.Incarnation > incarnation || entry.status != statusAlive {
		return entry.record.Incarnation, entry.record.Sequence
	}
	if owner := c.state.superseded(entry); owner != nil {
		return owner.record.Incarnation, math.MaxUint64
	}
	return 0, 0
}

// serverNameHash returns a short hash of the name of a server.
func serverNameHash(server string) uint32 {
	return uint32(xxhash.Sum64String(server))
}

// requestRefutation requests the agent of a server to refute that it is silent, if
// its heartbeats arrive here while other balancers consider it silent.
func (c *nodeCore) requestRefutation(now time.Time, entry *serverEntry) {
	heartbeat, ok := c.silence.heartbeats[entry.record.Server]
	if !ok || now.Sub(heartbeat.at) > c.timing.HeartbeatTimeout || heartbeat.incarnation < entry.record.Incarnation {
		return
	}
	c.send(heartbeat.from, &pb.Envelope{Body: &pb.Envelope_HeartbeatReply{HeartbeatReply: &pb.HeartbeatReply{
		Server:            serverNameHash(entry.record.Server),
		Ready:             c.join.ready,
		RefuteIncarnation: entry.record.Incarnation,
		RefuteSequence:    entry.record.Sequence,
	}}})
}
