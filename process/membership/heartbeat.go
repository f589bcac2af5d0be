package membership

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "bergamotbank/process/membership/membershippb"
)

// handleHeartbeat takes in a heartbeat and answers it.
func (c *nodeCore) handleHeartbeat(now time.Time, from netip.AddrPort, server string, heartbeat *pb.Heartbeat) {
	leaving := c.takeAnnouncement(now, server, heartbeat.Record)
	entry, known := c.state.servers[server]
	if leaving {
		delete(c.silence.heard, server)
	} else if !known || heartbeat.Incarnation >= entry.record.Incarnation {
		c.silence.heard[server] = heartbeatSeen{at: now, from: from, incarnation: heartbeat.Incarnation}
		c.tellHeard(from, server, heartbeat.Incarnation)
	}
	reply := c.heartbeatReply(server, heartbeat)
	c.send(from, &pb.Envelope{Body: &pb.Envelope_HeartbeatReply{HeartbeatReply: reply}})
}

// tellHeard tells the homes of a server about its heartbeat when this balancer
// is none of them: the agent uses others only while it reaches no home.
func (c *nodeCore) tellHeard(from netip.AddrPort, server string, incarnation uint64) {
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

// handleHeard counts a heartbeat that reached another balancer.
func (c *nodeCore) handleHeard(now time.Time, heard *pb.Heard) {
	agent, err := endpointFromWire(heard.Agent)
	entry, known := c.state.servers[heard.Server]
	if err != nil || !known || heard.Incarnation < entry.record.Incarnation {
		return
	}
	c.silence.heard[entry.record.Server] = heartbeatSeen{at: now, from: agent, incarnation: heard.Incarnation}
}

// takeAnnouncement takes in the record of a heartbeat. It tells whether the
// server leaves.
func (c *nodeCore) takeAnnouncement(now time.Time, server string, m *pb.Record) bool {
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
	reply := &pb.HeartbeatReply{Server: serverCheck(server), Ready: c.join.ready}
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
	reply.View = viewDigest(c.digests, entry.record.Service, heartbeat.DependsOn)
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

// refutation returns the version that the agent must exceed to be seen as
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

// serverCheck is a short check of the name of a server.
func serverCheck(server string) uint32 {
	return uint32(xxhash.Sum64String(server))
}

// refuteForAgent tells the agent of a server that others hold for silent,
// while its heartbeats arrive here.
func (c *nodeCore) refuteForAgent(now time.Time, entry *serverEntry) {
	heard, ok := c.silence.heard[entry.record.Server]
	if !ok || now.Sub(heard.at) > c.timing.SilentAfter || heard.incarnation < entry.record.Incarnation {
		return
	}
	c.send(heard.from, &pb.Envelope{Body: &pb.Envelope_HeartbeatReply{HeartbeatReply: &pb.HeartbeatReply{
		Server:            serverCheck(entry.record.Server),
		Ready:             c.join.ready,
		RefuteIncarnation: entry.record.Incarnation,
		RefuteSequence:    entry.record.Sequence,
	}}})
}
