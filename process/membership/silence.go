package membership

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bergamotbank/event"
	pb "bergamotbank/process/membership/membershippb"
)

const (
	// silencePeriod is the period in which homes exchange which servers are silent.
	silencePeriod = 500 * time.Millisecond
	// observationTTL is the time for which the report of another home is valid.
	observationTTL = 3 * silencePeriod
	// receptionTimeout is the time without any datagram after which a balancer that
	// knows other processes considers no process silent or suspect.
	receptionTimeout = 2 * time.Second
	// weakEvidenceDelay is how much longer a server must be silent if all homes
	// that report it are in one other failure domain.
	weakEvidenceDelay = time.Second
	// massSilenceMinimum is the minimum number of silent servers in a mass silence.
	massSilenceMinimum = 2
	// maxSilenceBatch is the maximum number of servers in one message.
	maxSilenceBatch = 20
)

// silenceDetector detects silent servers, on behalf of one of their homes.
type silenceDetector struct {
	next        time.Time
	lastInbound time.Time
	heartbeats  map[string]receivedHeartbeat
	watched     map[string]time.Time // when this balancer became a home, by server
	// observed holds when another home last reported a server silent.
	observed map[observationKey]time.Time
	retained map[string]int // servers retained in the view, by failure domain
}

// receivedHeartbeat is the last heartbeat of a server.
type receivedHeartbeat struct {
	at          time.Time
	from        netip.AddrPort
	incarnation uint64
}

type observationKey struct {
	server string
	home   string
}

func newSilenceDetector() silenceDetector {
	return silenceDetector{
		heartbeats: make(map[string]receivedHeartbeat),
		watched:    make(map[string]time.Time),
		observed:   make(map[observationKey]time.Time),
		retained:   make(map[string]int),
	}
}

// restart gives every watched server the full HeartbeatTimeout again.
func (d *silenceDetector) restart(now time.Time) {
	d.observed = make(map[observationKey]time.Time)
	for server := range d.watched {
		d.watched[server] = now
	}
}

// updateWatch starts or stops watching a server, depending on whether this
// balancer is one of its homes.
func (c *nodeCore) updateWatch(now time.Time, entry *serverEntry) {
	name := entry.record.Server
	_, watched := c.silence.watched[name]
	home := entry.status == statusAlive && containsPeer(c.homesOf(entry.hash, entry.record.Domain), c.state.peers[c.self.Name])
	switch {
	case home && !watched:
		c.silence.watched[name] = now
	case !home && watched:
		delete(c.silence.watched, name)
	}
}

// receptionFailed reports whether this balancer receives nothing although it knows
// other processes. In that case its own reception has more likely failed than all
// of the other processes.
func (c *nodeCore) receptionFailed(now time.Time) bool {
	alone := len(c.state.peers) <= 1 && len(c.silence.heartbeats) == 0
	return !alone && now.Sub(c.silence.lastInbound) > receptionTimeout
}

// lastHeartbeat returns the time of the last heartbeat of a watched server, or the
// time when this balancer became its home if that is later.
func (c *nodeCore) lastHeartbeat(name string, incarnation uint64) time.Time {
	last := c.silence.watched[name]
	heartbeat, ok := c.silence.heartbeats[name]
	if ok && heartbeat.incarnation >= incarnation && heartbeat.at.After(last) {
		return heartbeat.at
	}
	return last
}

// handleSilence stores which servers another home reports silent.
func (c *nodeCore) handleSilence(now time.Time, home string, silence *pb.Silence) {
	for _, server := range silence.Servers {
		entry, ok := c.state.servers[server.Server]
		if ok && entry.record.Incarnation == server.Incarnation {
			c.silence.observed[observationKey{server: entry.record.Server, home: home}] = now
		}
	}
}

// silentServer is a watched server without heartbeats.
type silentServer struct {
	entry *serverEntry
	since time.Duration
	homes []*peerEntry
}

// evidence is the degree to which the homes agree that a server is silent.
type evidence uint8

const (
	// evidenceIncomplete: a live home has not confirmed the silence.
	evidenceIncomplete evidence = iota
	// evidenceWeak: all live homes agree, but all are in one other failure domain,
	// which may be partitioned itself.
	evidenceWeak
	// evidenceStrong: all live homes agree, and one of them is in the failure
	// domain of the server or they are in different failure domains.
	evidenceStrong
)

// tickSilence exchanges with the other homes which servers are silent, and
// removes those that all homes report silent.
func (c *nodeCore) tickSilence(now time.Time) {
	if now.Before(c.silence.next) {
		return
	}
	c.silence.next = now.Add(silencePeriod)
	c.expireObservations(now)
	if !c.join.ready || c.receptionFailed(now) {
		return
	}
	silent, totals := c.silentServers(now)
	c.sendSilence(silent)
	mass := c.massSilence(silent, totals)
	retained := make(map[string]int)
	for _, server := range silent {
		domain := server.entry.record.Domain
		switch c.evidence(server) {
		case evidenceIncomplete:
		case evidenceStrong:
			c.mergeRecord(now, *server.entry.record, statusSilent)
		case evidenceWeak:
			if mass[domain] {
				retained[domain]++
			} else if server.since > c.timing.HeartbeatTimeout+weakEvidenceDelay {
				c.mergeRecord(now, *server.entry.record, statusSilent)
			}
		}
	}
	c.recordRetained(retained)
}

// recordRetained records the failure domains whose silent servers stay in the
// view because of a mass silence.
func (c *nodeCore) recordRetained(retained map[string]int) {
	for _, domain := range slices.Sorted(maps.Keys(retained)) {
		if c.silence.retained[domain] == 0 {
			c.record(event.Event{Kind: event.MassSilence, Domain: domain, Count: uint64(retained[domain])})
		}
	}
	c.silence.retained = retained
}

func (c *nodeCore) expireObservations(now time.Time) {
	for key, at := range c.silence.observed {
		if now.Sub(at) > observationTTL {
			delete(c.silence.observed, key)
		}
	}
	for server, heartbeat := range c.silence.heartbeats {
		if now.Sub(heartbeat.at) > c.timing.SilentTTL {
			delete(c.silence.heartbeats, server)
		}
	}
}

// silentServers returns the watched servers that are silent, sorted by name, and
// the number of watched servers per failure domain that are silent or have sent a
// heartbeat.
func (c *nodeCore) silentServers(now time.Time) ([]silentServer, map[string]int) {
	var silent []silentServer
	totals := make(map[string]int)
	for name := range c.silence.watched {
		entry, ok := c.state.servers[name]
		if !ok || !c.state.live(entry) {
			continue
		}
		since := now.Sub(c.lastHeartbeat(name, entry.record.Incarnation))
		_, hasHeartbeat := c.silence.heartbeats[name]
		if since <= c.timing.HeartbeatTimeout && !hasHeartbeat {
			continue
		}
		totals[entry.record.Domain]++
		if since > c.timing.HeartbeatTimeout {
			homes := c.homesOf(entry.hash, entry.record.Domain)
			silent = append(silent, silentServer{entry: entry, since: since, homes: homes})
		}
	}
	slices.SortFunc(silent, func(a, b silentServer) int {
		return strings.Compare(a.entry.record.Server, b.entry.record.Server)
	})
	return silent, totals
}

// sendSilence reports the silent servers to their other homes.
func (c *nodeCore) sendSilence(silent []silentServer) {
	lists := make(map[*peerEntry][]*pb.SilentServer)
	var order []*peerEntry
	for _, server := range silent {
		for _, home := range server.homes {
			if home.peer.Name == c.self.Name {
				continue
			}
			if lists[home] == nil {
				order = append(order, home)
			}
			lists[home] = append(lists[home], &pb.SilentServer{
				Server:      server.entry.record.Server,
				Incarnation: server.entry.record.Incarnation,
				Sequence:    server.entry.record.Sequence,
			})
		}
	}
	for _, home := range order {
		for chunk := range slices.Chunk(lists[home], maxSilenceBatch) {
			c.send(home.peer.Control, &pb.Envelope{Body: &pb.Envelope_Silence{Silence: &pb.Silence{Servers: chunk}}})
		}
	}
}

// massSilence returns the failure domains from which this balancer may be
// partitioned: all of their balancers have failed, or most of their watched servers
// are silent.
func (c *nodeCore) massSilence(silent []silentServer, totals map[string]int) map[string]bool {
	counts := make(map[string]int)
	for _, server := range silent {
		counts[server.entry.record.Domain]++
	}
	mass := make(map[string]bool)
	for domain, count := range counts {
		majoritySilent := count >= massSilenceMinimum && 2*count > totals[domain]
		mass[domain] = majoritySilent || c.balancersFailed(domain)
	}
	return mass
}

// balancersFailed reports whether a failure domain has failed balancers and no live
// one.
func (c *nodeCore) balancersFailed(domain string) bool {
	failed := false
	for _, entry := range c.state.peers {
		if entry.peer.Domain != domain {
			continue
		}
		if entry.status <= statusSuspect {
			return false
		}
		failed = failed || entry.status == statusSilent
	}
	return failed
}

// evidence returns the degree to which the homes agree that a server is silent.
func (c *nodeCore) evidence(server silentServer) evidence {
	domains := make(map[string]bool)
	for _, home := range server.homes {
		domains[home.peer.Domain] = true
		if home.peer.Name == c.self.Name {
			continue
		}
		key := observationKey{server: server.entry.record.Server, home: home.peer.Name}
		if _, found := c.silence.observed[key]; !found {
			return evidenceIncomplete
		}
	}
	if domains[server.entry.record.Domain] || len(domains) > 1 {
		return evidenceStrong
	}
	return evidenceWeak
}
