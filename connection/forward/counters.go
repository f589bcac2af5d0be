package forward

import "sync/atomic"

// Counters are the packets and bytes that a forwarder has handled since it
// started.
type Counters struct {
	// Forwarded counts packets sent to an agent.
	Forwarded uint64
	// ForwardedBytes counts the bytes of forwarded packets.
	ForwardedBytes uint64
	// NotIPv4 counts dropped datagrams that are not a complete IPv4 packet.
	NotIPv4 uint64
	// NotTCP counts dropped packets of a protocol other than TCP.
	NotTCP uint64
	// Fragment counts dropped fragments.
	Fragment uint64
	// BrokenTCP counts dropped packets with an invalid TCP header.
	BrokenTCP uint64
	// TooLarge counts dropped datagrams above the size limit.
	TooLarge uint64
	// NoService counts dropped packets to an address without a service.
	NoService uint64
	// NoServer counts dropped packets to a service without a backend server.
	NoServer uint64
	// NoTable counts packets dropped before the first forwarding table was set.
	NoTable uint64 `json:"NoPlane"`
	// SendFailed counts packets that the kernel refused to send.
	SendFailed uint64
}

// counters holds the counts of Counters for concurrent use.
type counters struct {
	forwarded      atomic.Uint64
	forwardedBytes atomic.Uint64
	drops          [reasonCount]atomic.Uint64
}

// dropReason is the reason why a packet was dropped.
type dropReason uint8

const (
	reasonNone dropReason = iota
	reasonNotIPv4
	reasonNotTCP
	reasonFragment
	reasonBrokenTCP
	reasonTooLarge
	reasonNoService
	reasonNoServer
	reasonNoTable
	reasonSendFailed
	reasonCount
)

func (c *counters) snapshot() Counters {
	return Counters{
		Forwarded:      c.forwarded.Load(),
		ForwardedBytes: c.forwardedBytes.Load(),
		NotIPv4:        c.drops[reasonNotIPv4].Load(),
		NotTCP:         c.drops[reasonNotTCP].Load(),
		Fragment:       c.drops[reasonFragment].Load(),
		BrokenTCP:      c.drops[reasonBrokenTCP].Load(),
		TooLarge:       c.drops[reasonTooLarge].Load(),
		NoService:      c.drops[reasonNoService].Load(),
		NoServer:       c.drops[reasonNoServer].Load(),
		NoTable:        c.drops[reasonNoTable].Load(),
		SendFailed:     c.drops[reasonSendFailed].Load(),
	}
}

// batchCounts accumulates the counts of one batch, so that the shared counters are
// updated once per batch.
type batchCounts struct {
	forwarded      uint64
	forwardedBytes uint64
	drops          [reasonCount]uint64
}

func (c *counters) add(b *batchCounts) {
	c.forwarded.Add(b.forwarded)
	c.forwardedBytes.Add(b.forwardedBytes)
	for i, n := range b.drops {
		if n > 0 {
			c.drops[i].Add(n)
		}
	}
	*b = batchCounts{}
}
