package endpoint

import (
	"encoding/json"
	"errors"
	"sync/atomic"

	"bergamotbank/connection/encap"
	"bergamotbank/connection/flows"
)

// Counters are what an endpoint has handled since it started.
type Counters struct {
	// Delivered counts packets given to the TCP stack.
	Delivered uint64
	// Passed counts packets sent on to another agent.
	Passed uint64
	// Sent counts packets sent to the fabric.
	Sent uint64
	// Malformed counts dropped datagrams that could not be decoded.
	Malformed uint64
	// UnknownVersion counts dropped datagrams of an unknown protocol version.
	UnknownVersion uint64
	// NotTCPOut counts dropped packets of the TCP stack that are not TCP.
	NotTCPOut uint64
	// SendFailed counts packets that the kernel refused to send.
	SendFailed uint64
	// FlowsRegistered counts flow hashes registered at other agents.
	FlowsRegistered uint64
	// RegistrationBytes counts the bytes of registrations and releases sent.
	RegistrationBytes uint64
	// RegistrationsRefused counts flow hashes of other agents not taken.
	RegistrationsRefused uint64
	// Drops counts packets dropped by decision.
	Drops DropCounts
}

// DropCounts counts dropped packets by flows.Reason.
type DropCounts [flows.ReasonCount]uint64

// MarshalJSON writes the counts that are not zero under the names of the
// reasons.
func (d DropCounts) MarshalJSON() ([]byte, error) {
	named := make(map[string]uint64)
	for i, count := range d {
		if count > 0 {
			named[flows.Reason(i).String()] = count
		}
	}
	return json.Marshal(named)
}

// counters is the shared form of Counters.
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

func (c *counters) drop(why flows.Reason) {
	c.drops[why].Add(1)
}

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

// dropped returns the number of packets that were not moved on.
func (c *counters) dropped() uint64 {
	sum := c.malformed.Load() + c.unknownVersion.Load() + c.notTCPOut.Load() + c.sendFailed.Load()
	for i := range c.drops {
		sum += c.drops[i].Load()
	}
	return sum
}
