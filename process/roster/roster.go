// Package roster keeps the members of a deployment whose flows pass through:
// each process sends heartbeats to the others and judges them by what it hears.
// The store's directory, seeds and introductions only tell whom to greet.
package roster

import (
	"cmp"
	"slices"
	"time"

	"bergamotbank/connection/passthrough"
)

const (
	// contactInterval is the interval of heartbeats to an address that never
	// answered, contactTries the number of them.
	contactInterval = 500 * time.Millisecond
	contactTries    = 4
	// forgetAfter removes members that nobody has heard of.
	forgetAfter = 30 * time.Second
)

// Options configure a Roster.
type Options struct {
	// Self describes this process for its next heartbeat.
	Self func() Member
	// Sender takes datagrams to members.
	Sender passthrough.Sender
	// OnNewerVersion is called when a member has a newer version than this process.
	OnNewerVersion func(revision uint64, peer passthrough.Endpoint)
	// OnConfirmed is called with the time since a member knew its version to be the
	// newest, when this process has that version or a newer one.
	OnConfirmed func(age time.Duration)
	// OnReport is called for each heartbeat of an agent that is reachable before
	// and after it.
	OnReport func(Status)
	// OnChange is called by Tick and Apply when members came, went, restarted or
	// became reachable or unreachable since the last time.
	OnChange func()
	// OnMemberChange is called for each such change with the word for it; nil for none.
	OnMemberChange func(member Member, change string, silence time.Duration)
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

// DiscoveryComplete tells whether no agent is missing from the view: every address that was
// named has answered or was given up. Of the balancers one that hears this process
// is enough, since it introduces all members that it knows.
func (r *Roster) DiscoveryComplete() bool {
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

// HandleHeartbeat takes a datagram of kind HandleHeartbeat.
func (r *Roster) HandleHeartbeat(datagram []byte, now time.Duration) {
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
		r.options.OnNewerVersion(h.Version, h.Peer)
	} else {
		r.options.OnConfirmed(h.ConfirmedAge)
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

// HandleIntroduction takes a datagram of kind HandleIntroduction.
func (r *Roster) HandleIntroduction(datagram []byte) {
	peers, err := parseIntroduction(datagram)
	if err != nil {
		r.malformed++
		return
	}
	for _, peer := range peers {
		r.Add(peer.address, peer.role)
	}
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
	r.NotifyChanges()
}

// NotifyChanges calls OnChange when members have changed. It is for the end of a batch of
// datagrams: after a restart many heartbeats of new members come together.
func (r *Roster) NotifyChanges() {
	if r.changed {
		r.changed = false
		r.options.OnChange()
	}
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
