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
	// silencePeriod is the period in which homes compare what they find silent.
	silencePeriod = 500 * time.Millisecond
	// observationLife is the time for which another home's finding counts.
	observationLife = 3 * silencePeriod
	// deafAfter is the time without any datagram after which a balancer that
	// knows others judges nobody.
	deafAfter = 2 * time.Second
	// weakDelay is how much longer a server must be silent when all who find
	// it so sit in one other failure domain.
	weakDelay = time.Second
	// massMinimum is the least number of servers that make a mass silence.
	massMinimum = 2
	// silenceBatch is the largest number of servers in one message.
	silenceBatch = 20
)

// silenceWatch is what a balancer knows as a home of servers.
type silenceWatch struct {
	next        time.Time
	lastInbound time.Time
	heard       map[string]heartbeatSeen
	watched     map[string]time.Time // server to the time of becoming its home
	// observed holds when another home last found a server silent.
	observed map[observationKey]time.Time
	held     map[string]int // servers held in the view by failure domain
}

// heartbeatSeen is the last heartbeat of a server.
type heartbeatSeen struct {
	at          time.Time
	from        netip.AddrPort
	incarnation uint64
}

type observationKey struct {
	server string
	home   string
}

func newSilenceWatch() silenceWatch {
	return silenceWatch{
		heard:    make(map[string]heartbeatSeen),
		watched:  make(map[string]time.Time),
		observed: make(map[observationKey]time.Time),
		held:     make(map[string]int),
	}
}

// restart gives every watched server its full time again.
func (w *silenceWatch) restart(now time.Time) {
	w.observed = make(map[observationKey]time.Time)
	for server := range w.watched {
		w.watched[server] = now
	}
}

// watch starts or ends the watch over a server, by whether this balancer is one
// of its homes.
func (c *nodeCore) watch(now time.Time, entry *serverEntry) {
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

// deaf tells whether this balancer hears nobody though it knows others, so
// that its own reception is more likely broken than everyone else.
func (c *nodeCore) deaf(now time.Time) bool {
	alone := len(c.state.peers) <= 1 && len(c.silence.heard) == 0
	return !alone && now.Sub(c.silence.lastInbound) > deafAfter
}

// lastHeard returns when a watched server was heard last; a new home counts
// from the time it became one.
func (c *nodeCore) lastHeard(name string, incarnation uint64) time.Time {
	last := c.silence.watched[name]
	heard, ok := c.silence.heard[name]
	if ok && heard.incarnation >= incarnation && heard.at.After(last) {
		return heard.at
	}
	return last
}

// handleSilence takes in what another home finds silent.
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

// evidence is how far the homes agree that a server is silent.
type evidence uint8

const (
	// evidenceOpen: a live home has not confirmed the silence.
	evidenceOpen evidence = iota
	// evidenceWeak: all live homes agree, but all sit in one other failure
	// domain, so that the cut may be theirs.
	evidenceWeak
	// evidenceStrong: all live homes agree, one of them in the failure domain
	// of the server or several in different ones.
	evidenceStrong
)

// tickSilence compares with the other homes which servers are silent, and
// takes out those that all homes find silent.
func (c *nodeCore) tickSilence(now time.Time) {
	if now.Before(c.silence.next) {
		return
	}
	c.silence.next = now.Add(silencePeriod)
	c.expireObservations(now)
	if !c.join.ready || c.deaf(now) {
		return
	}
	silent, totals := c.silentServers(now)
	c.tellHomes(silent)
	mass := c.massSilence(silent, totals)
	held := make(map[string]int)
	for _, server := range silent {
		domain := server.entry.record.Domain
		switch c.evidence(server) {
		case evidenceOpen:
		case evidenceStrong:
			c.mergeRecord(now, *server.entry.record, statusSilent)
		case evidenceWeak:
			if mass[domain] {
				held[domain]++
			} else if server.since > c.timing.SilentAfter+weakDelay {
				c.mergeRecord(now, *server.entry.record, statusSilent)
			}
		}
	}
	c.recordHeld(held)
}

// recordHeld records the failure domains whose servers stay in the view though
// they are silent here.
func (c *nodeCore) recordHeld(held map[string]int) {
	for _, domain := range slices.Sorted(maps.Keys(held)) {
		if c.silence.held[domain] == 0 {
			c.record(event.Event{Kind: event.MassSilence, Domain: domain, Count: uint64(held[domain])})
		}
	}
	c.silence.held = held
}

func (c *nodeCore) expireObservations(now time.Time) {
	for key, at := range c.silence.observed {
		if now.Sub(at) > observationLife {
			delete(c.silence.observed, key)
		}
	}
	for server, heard := range c.silence.heard {
		if now.Sub(heard.at) > c.timing.ForgetAfter {
			delete(c.silence.heard, server)
		}
	}
}

// silentServers returns the watched servers that are silent, by name, and the
// number of servers per failure domain that can be judged.
func (c *nodeCore) silentServers(now time.Time) ([]silentServer, map[string]int) {
	var silent []silentServer
	totals := make(map[string]int)
	for name := range c.silence.watched {
		entry, ok := c.state.servers[name]
		if !ok || !c.state.live(entry) {
			continue
		}
		since := now.Sub(c.lastHeard(name, entry.record.Incarnation))
		_, heard := c.silence.heard[name]
		if since <= c.timing.SilentAfter && !heard {
			continue
		}
		totals[entry.record.Domain]++
		if since > c.timing.SilentAfter {
			homes := c.homesOf(entry.hash, entry.record.Domain)
			silent = append(silent, silentServer{entry: entry, since: since, homes: homes})
		}
	}
	slices.SortFunc(silent, func(a, b silentServer) int {
		return strings.Compare(a.entry.record.Server, b.entry.record.Server)
	})
	return silent, totals
}

// tellHomes sends the other homes what is silent here.
func (c *nodeCore) tellHomes(silent []silentServer) {
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
		for chunk := range slices.Chunk(lists[home], silenceBatch) {
			c.send(home.peer.Control, &pb.Envelope{Body: &pb.Envelope_Silence{Silence: &pb.Silence{Servers: chunk}}})
		}
	}
}

// massSilence returns the failure domains that this balancer may be cut off
// from: all of their balancers are dead here, or most of their servers that are
// watched here went silent.
func (c *nodeCore) massSilence(silent []silentServer, totals map[string]int) map[string]bool {
	counts := make(map[string]int)
	for _, server := range silent {
		counts[server.entry.record.Domain]++
	}
	mass := make(map[string]bool)
	for domain, count := range counts {
		most := count >= massMinimum && 2*count > totals[domain]
		mass[domain] = most || c.lostBalancers(domain)
	}
	return mass
}

// lostBalancers tells whether a failure domain has dead balancers and no live
// one.
func (c *nodeCore) lostBalancers(domain string) bool {
	dead := false
	for _, entry := range c.state.peers {
		if entry.peer.Domain != domain {
			continue
		}
		if entry.status <= statusSuspect {
			return false
		}
		dead = dead || entry.status == statusSilent
	}
	return dead
}

// evidence tells how far the homes agree that a server is silent.
func (c *nodeCore) evidence(server silentServer) evidence {
	domains := make(map[string]bool)
	for _, home := range server.homes {
		domains[home.peer.Domain] = true
		if home.peer.Name == c.self.Name {
			continue
		}
		key := observationKey{server: server.entry.record.Server, home: home.peer.Name}
		if _, found := c.silence.observed[key]; !found {
			return evidenceOpen
		}
	}
	if domains[server.entry.record.Domain] || len(domains) > 1 {
		return evidenceStrong
	}
	return evidenceWeak
}
