package endpoint

import (
	"encoding/json"
	"errors"
	"sync/atomic"

	"bergamotbank/connection/encap"
	"bergamotbank/connection/flows"
)

// Counters are the counts of packets and registrations since an endpoint started.
type Counters struct {
	// Delivered counts packets handed to the TCP stack.
	Delivered uint64
	// Passed counts packets forwarded to another agent.
	Passed uint64
	// Sent counts packets sent to the fabric.
	Sent uint64
	// Malformed counts dropped datagrams that could not be decoded.
	Malformed uint64
	// UnknownVersion counts dropped datagrams of an unsupported protocol version.
	UnknownVersion uint64
	// NotTCPOut counts dropped packets of the TCP stack that are not TCP.
	NotTCPOut uint64
	// SendFailed counts packets that the kernel failed to send.
	SendFailed uint64
	// FlowsRegistered counts flow hashes sent in registrations to other agents.
	FlowsRegistered uint64
	// RegistrationBytes counts the bytes of registrations and releases sent.
	RegistrationBytes uint64
	// RegistrationsRefused counts flow hashes in refused registrations of other
	// agents.
	RegistrationsRefused uint64
	// Drops counts packets dropped by a flows.Decision.
	Drops DropCounts
}

// DropCounts counts dropped packets by flows.Reason.
type DropCounts [flows.ReasonCount]uint64

// MarshalJSON encodes the nonzero counts as an object keyed by reason name.
func (d DropCounts) MarshalJSON() ([]byte, error) {
	named := make(map[string]uint64)
	for i, count := range d {
		if count > 0 {
			named[flows.Reason(i).String()] = count
		}
	}
	return json.Marshal(named)
}

// counters is the form of Counters that is safe for concurrent use.
type counters struct {
	delivered            atomic.Uint64
	passed               atomic.Uint64
	sent                 atomic.Uint64
	malformed            atomic.Uint64
	unknownVersion       atomic.Uint64
	notTCPOut            atomic.Uint64
	sendFailed           atomic.Uint64
	flowsRegistered      atomic.Uint64
	registrationBytes    atomic.Uint64
	registrationsRefused atomic.Uint64
	drops                [flows.ReasonCount]atomic.Uint64
}

func (c *counters) countDrop(reason flows.Reason) {
	c.drops[reason].Add(1)
}

// countMalformed counts a datagram that was dropped because of a decoding error.
func (c *counters) countMalformed(err error) {
	if errors.Is(err, encap.ErrVersion) {
		c.unknownVersion.Add(1)
		return
	}
	c.malformed.Add(1)
}

func (c *counters) snapshot() Counters {
	s := Counters{
		Delivered:            c.delivered.Load(),
		Passed:               c.passed.Load(),
		Sent:                 c.sent.Load(),
		Malformed:            c.malformed.Load(),
		UnknownVersion:       c.unknownVersion.Load(),
		NotTCPOut:            c.notTCPOut.Load(),
		SendFailed:           c.sendFailed.Load(),
		FlowsRegistered:      c.flowsRegistered.Load(),
		RegistrationBytes:    c.registrationBytes.Load(),
		RegistrationsRefused: c.registrationsRefused.Load(),
	}
	for i := range c.drops {
		s.Drops[i] = c.drops[i].Load()
	}
	return s
}

// dropped returns the number of packets that were neither delivered, forwarded nor
// sent.
func (c *counters) dropped() uint64 {
	sum := c.malformed.Load() + c.unknownVersion.Load() + c.notTCPOut.Load() + c.sendFailed.Load()
	for i := range c.drops {
		sum += c.drops[i].Load()
	}
	return sum
}
