// Package roster keeps the members of a deployment whose flows pass through:
// each process sends heartbeats to the others and judges them by what it hears.
// The store's directory, seeds and introductions only tell whom to greet.
package roster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotbank/connection/passthrough"
)

const (
	// reportInterval is the shortest interval of agents' heartbeats to balancers:
	// a server that stops answering is passed over after three of them.
	reportInterval = 250 * time.Millisecond
	// greetInterval is the shortest interval of all other heartbeats.
	greetInterval = time.Second
	// reportSpacing and greetSpacing lengthen the intervals with the number of
	// agents, so that a balancer takes at most 100 reports a second.
	reportSpacing = 10 * time.Millisecond
	greetSpacing  = 20 * time.Millisecond
	// freshIntervals is the number of missed intervals after which a member counts
	// as unreachable, freshSlack what a heartbeat may be late.
	freshIntervals = 3
	freshSlack     = 150 * time.Millisecond
	// overdueSlack is how late a heartbeat may be before the member is asked for one,
	// askInterval the pause between questions, maxAsked the number of them. In a large
	// deployment heartbeats are seconds apart; questions tell sooner.
	overdueSlack = 200 * time.Millisecond
	askInterval  = 150 * time.Millisecond
	maxAsked     = 4
	// unreachableAsked is the number of questions without an answer after which a
	// member counts as unreachable.
	unreachableAsked = 3
	// silentAgentAfter is the silence after which an agent counts as lost when it has
	// also left maxAsked questions without an answer: flows of its server are then
	// ended. silentAfter is that of balancers, for which nothing waits.
	silentAgentAfter = 1800 * time.Millisecond
	silentAfter      = 6 * time.Second
	// lonelyContacts is the number of known addresses below which a process asks to be
	// introduced; seeds are fewer. introducers is the number of members that introduce
	// the others to one that did not ask.
	lonelyContacts = 5
	introducers    = 4
	// wholeEvery is the number of heartbeats of which one tells everything, also what
	// the receiver should know already; wholeIntervals the number of intervals after a
	// change in which each does, since datagrams are lost.
	wholeEvery     = 8
	wholeIntervals = 3
	// contactInterval is the interval of heartbeats to an address that never
	// answered, contactTries the number of them.
	contactInterval = 500 * time.Millisecond
	contactTries    = 4
	// forgetAfter removes members that nobody has heard of.
	forgetAfter = 30 * time.Second
	// stallThreshold is the gap between two ticks that shows that this process
	// itself stood still.
	stallThreshold = 500 * time.Millisecond
)

// Options configure a Roster.
type Options struct {
	// Self describes this process for its next heartbeat.
	Self func() Member
	// Sender takes datagrams to members.
	Sender passthrough.Sender
	// OnVersion is called when a member has a newer version than this process.
	OnVersion func(revision uint64, peer passthrough.Endpoint)
	// OnConfirmed is called with the time since a member knew its version to be the
	// newest, when this process has that version or a newer one.
	OnConfirmed func(age time.Duration)
	// OnReport is called for each heartbeat of an agent that is reachable before
	// and after it.
	OnReport func(Status)
	// OnChange is called by Tick and Apply when members came, went, restarted or
	// became reachable or unreachable since the last time.
	OnChange func()
	// OnMember is called for each such change with the word for it; nil for none.
	OnMember func(member Member, change string, silence time.Duration)
}

// Status is a member with this process' judgement.
type Status struct {
	Member
	// HeardAt is when the last heartbeat came.
	HeardAt time.Duration
	// Reachable tells that both processes hear each other.
	Reachable bool
	// Silent tells that the member has not been heard for so long that it counts
	// as lost.
	Silent bool
}

// Roster keeps the members. It is not safe for concurrent use.
type Roster struct {
	options    Options
	contacts   map[passthrough.Endpoint]*contact
	reportDue  time.Duration
	greetDue   time.Duration
	contactDue time.Duration
	ticked     time.Duration
	// lasting is what the last heartbeat said of this process that beats leave out;
	// after a change of it all heartbeats are whole until wholeUntil.
	lasting    lasting
	wholeUntil time.Duration
	changed    bool
	malformed  uint64
	stalls     uint64
}

// contact is an address with what was heard from it.
type contact struct {
	member   Member
	known    bool
	heardAt  time.Duration
	hearsUs  bool
	interval time.Duration
	tries    int
	// sent counts the heartbeats to the member.
	sent uint
	// asked counts the questions since the member was heard, askedAt is the last one.
	asked   int
	askedAt time.Duration
	// named is the role that whoever named the address gave, until it answers.
	named Role
	// last judgement, to notice changes.
	reachable, silent bool
}

// New returns a roster without members.
func New(options Options) *Roster {
	return &Roster{options: options, contacts: map[passthrough.Endpoint]*contact{}}
}

// Add names an address to greet, with the role of its process as far as that is
// known. One that has answered already is left alone.
func (r *Roster) Add(peer passthrough.Endpoint, role Role) {
	if peer == 0 || peer == r.options.Self().Peer {
		return
	}
	c := r.contacts[peer]
	if c == nil {
		c = &contact{}
		r.contacts[peer] = c
	}
	if !c.known {
		c.named = role
		c.tries = contactTries
		r.contactDue = 0
	}
}

// Settled tells whether no agent is missing from the view: every address that was
// named has answered or was given up. Of the balancers one that hears this process
// is enough, since it introduces all members that it knows.
func (r *Roster) Settled() bool {
	awaited, introduced := false, false
	for _, c := range r.contacts {
		switch {
		case c.known:
			introduced = introduced || (c.member.Role == Balancer && c.hearsUs)
		case c.named == Balancer:
			awaited = true
		default:
			return false
		}
	}
	return introduced || !awaited
}

// Stalls returns how often this process stood still.
func (r *Roster) Stalls() uint64 { return r.stalls }

// Malformed returns the number of datagrams that could not be parsed.
func (r *Roster) Malformed() uint64 { return r.malformed }

// Hello takes a datagram of kind Hello.
func (r *Roster) Hello(datagram []byte, now time.Duration) {
	h, err := parseHello(datagram)
	if err != nil {
		r.malformed++
		return
	}
	if h.Peer == r.options.Self().Peer {
		return
	}
	c := r.contacts[h.Peer]
	if c == nil {
		c = &contact{}
		r.contacts[h.Peer] = c
	}
	if c.known && h.Run < c.member.Run {
		return
	}
	r.take(c, &h, now)
}

// take takes over a heartbeat of a contact.
func (r *Roster) take(c *contact, h *hello, now time.Duration) {
	self := r.options.Self()
	restarted := !c.known || h.Run != c.member.Run
	changed := restarted || h.Service != c.member.Service || h.Name != c.member.Name || h.Domain != c.member.Domain ||
		h.Report.State != c.member.Report.State
	c.member, c.known, c.heardAt, c.hearsUs, c.interval = h.Member, true, now, h.heard, h.interval
	c.asked = 0
	if h.Version > self.Version {
		r.options.OnVersion(h.Version, h.Peer)
	} else {
		r.options.OnConfirmed(h.Confirmed)
	}
	if restarted {
		r.tell(c, "joined", now)
		r.greet(h.Peer, c, self, now)
		if h.lonely || r.introduces(h.Peer, self) {
			r.introduce(h.Peer)
		}
	} else if h.asks {
		r.greet(h.Peer, c, self, now)
	}
	if r.judge(c, now) || changed {
		r.changed = true
	} else if h.Role == Agent && r.options.OnReport != nil {
		r.options.OnReport(c.status())
	}
}

// Introduction takes a datagram of kind Introduction.
func (r *Roster) Introduction(datagram []byte) {
	peers, err := parseIntroduction(datagram)
	if err != nil {
		r.malformed++
		return
	}
	for _, peer := range peers {
		r.Add(peer.address, peer.role)
	}
}

// introduces tells whether this process is one of the few that introduce the others
// to a member even if it did not ask: what it read in the directory may be old. If all
// did, a restart of many would move the square of their number.
func (r *Roster) introduces(peer passthrough.Endpoint, self Member) bool {
	var ends [16]byte
	binary.LittleEndian.PutUint64(ends[:], uint64(peer))
	binary.LittleEndian.PutUint64(ends[8:], uint64(self.Peer))
	return xxhash.Sum64(ends[:])%uint64(len(r.contacts)+1) < introducers
}

// introduce tells a member that has just started of all others.
func (r *Roster) introduce(peer passthrough.Endpoint) {
	var peers []introduced
	for other, c := range r.contacts {
		if other != peer && c.known && !c.silent {
			peers = append(peers, introduced{other, c.member.Role})
		}
	}
	if len(peers) > 0 {
		r.options.Sender.Send(encodeIntroduction(peers), peer)
	}
}

// Announce sends a heartbeat to all members at once, after a change.
func (r *Roster) Announce(now time.Duration) {
	r.reportDue, r.greetDue = 0, 0
	r.greetAll(now)
}

// Tick sends the heartbeats that are due and judges the members anew.
func (r *Roster) Tick(now time.Duration) {
	r.excuseStall(now)
	r.greetAll(now)
	for peer, c := range r.contacts {
		if c.overdue(now) {
			r.ask(peer, c, now)
		}
		if r.judge(c, now) {
			r.changed = true
		}
		if r.forgettable(c, now) {
			delete(r.contacts, peer)
			r.changed = r.changed || c.known
		}
	}
	r.Apply()
}

// overdue tells whether a question for a heartbeat is due.
func (c *contact) overdue(now time.Duration) bool {
	return c.known && c.asked < maxAsked && now-c.heardAt > c.interval+overdueSlack && now-c.askedAt >= askInterval
}

// ask asks a member for a heartbeat.
func (r *Roster) ask(peer passthrough.Endpoint, c *contact, now time.Duration) {
	c.asked++
	c.askedAt = now
	r.send(peer, c, r.options.Self(), now, true)
}

// Apply calls OnChange when members have changed. It is for the end of a batch of
// datagrams: after a restart many heartbeats of new members come together.
func (r *Roster) Apply() {
	if r.changed {
		r.changed = false
		r.options.OnChange()
	}
}

// excuseStall forgives the silence of members while this process stood still.
func (r *Roster) excuseStall(now time.Duration) {
	if gap := now - r.ticked; r.ticked > 0 && gap > stallThreshold {
		r.stalls++
		for _, c := range r.contacts {
			c.heardAt += gap
			c.asked = 0
		}
	}
	r.ticked = now
}

func (r *Roster) forgettable(c *contact, now time.Duration) bool {
	if c.known {
		return now-c.heardAt > forgetAfter
	}
	return c.tries <= 0
}

// greetAll sends the heartbeats that are due.
func (r *Roster) greetAll(now time.Duration) {
	report, greet, contacts := now >= r.reportDue, now >= r.greetDue, now >= r.contactDue
	if !report && !greet && !contacts {
		return
	}
	self := r.options.Self()
	reportEvery, greetEvery := r.intervals()
	if report {
		r.reportDue = now + reportEvery
	}
	if greet {
		r.greetDue = now + greetEvery
	}
	if contacts {
		r.contactDue = now + contactInterval
	}
	if lasting := lastingOf(self); lasting != r.lasting {
		r.lasting, r.wholeUntil = lasting, now+wholeIntervals*greetEvery
	}
	for peer, c := range r.contacts {
		switch {
		case !c.known && contacts:
			c.tries--
			r.greet(peer, c, self, now)
		case c.known && reports(self, c) && report, c.known && !reports(self, c) && greet:
			r.greet(peer, c, self, now)
		}
	}
}

// reports tells whether heartbeats to a member carry the load of a server.
func reports(self Member, c *contact) bool {
	return self.Role == Agent && c.member.Role == Balancer
}

// intervals returns the intervals of reports and of other heartbeats.
func (r *Roster) intervals() (report, greet time.Duration) {
	agents := 0
	for _, c := range r.contacts {
		if c.known && c.member.Role == Agent {
			agents++
		}
	}
	return max(reportInterval, time.Duration(agents)*reportSpacing), max(greetInterval, time.Duration(agents)*greetSpacing)
}

func (r *Roster) greet(peer passthrough.Endpoint, c *contact, self Member, now time.Duration) {
	r.send(peer, c, self, now, false)
}

// send sends a heartbeat; asks tells that it wants one in return at once.
func (r *Roster) send(peer passthrough.Endpoint, c *contact, self Member, now time.Duration, asks bool) {
	report, greet := r.intervals()
	h := hello{Member: self, asks: asks, interval: greet, lonely: len(r.contacts) < lonelyContacts, heard: c.known && now-c.heardAt < c.freshFor()}
	if reports(self, c) {
		h.interval = report
	}
	c.sent++
	if c.hearsUs && now >= r.wholeUntil && c.sent%wholeEvery != 0 {
		b := beatOf(&h)
		r.options.Sender.Send(b.encode(), peer)
		return
	}
	r.options.Sender.Send(h.encode(), peer)
}

func (c *contact) freshFor() time.Duration { return freshIntervals*c.interval + freshSlack }

// judge decides whether a member is reachable and tells whether that changed.
func (r *Roster) judge(c *contact, now time.Duration) bool {
	silence := now - c.heardAt
	reachable := c.known && c.hearsUs && silence < c.freshFor() && c.unanswered(now) < unreachableAsked
	silent := c.known && silence > c.patience() && c.unanswered(now) >= maxAsked
	if reachable == c.reachable && silent == c.silent {
		return false
	}
	switch {
	case reachable && !c.reachable:
		r.tell(c, "reachable", now)
	case silent && !c.silent:
		r.tell(c, "silent", now)
	case !reachable && c.reachable:
		r.tell(c, "unreachable", now)
	}
	c.reachable, c.silent = reachable, silent
	return true
}

// patience returns the silence after which a member may count as lost.
func (c *contact) patience() time.Duration {
	if c.member.Role == Agent {
		return silentAgentAfter
	}
	return silentAfter
}

// unanswered returns the number of questions that had time to be answered.
func (c *contact) unanswered(now time.Duration) int {
	if c.asked > 0 && now-c.askedAt < askInterval {
		return c.asked - 1
	}
	return c.asked
}

func (r *Roster) tell(c *contact, change string, now time.Duration) {
	if r.options.OnMember != nil {
		r.options.OnMember(c.member, change, now-c.heardAt)
	}
}

func (c *contact) status() Status {
	return Status{Member: c.member, HeardAt: c.heardAt, Reachable: c.reachable, Silent: c.silent}
}

// Members returns all members that have been heard, in the order of their names.
func (r *Roster) Members() []Status {
	members := make([]Status, 0, len(r.contacts))
	for _, c := range r.contacts {
		if c.known {
			members = append(members, c.status())
		}
	}
	slices.SortFunc(members, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Peer, b.Peer))
	})
	return members
}
