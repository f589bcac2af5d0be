package forward

import (
	"bergamotbank/connection/datagram"
	"bergamotbank/connection/encap"
)

// SharedSteeringTables returns the number of services whose current steering table
// is the same object in both forwarding tables.
func SharedSteeringTables(a, b *Table) int {
	shared := 0
	for addr, s := range a.entries {
		if s.history.Current() == b.entries[addr].history.Current() {
			shared++
		}
	}
	return shared
}

// ForwardBatch forwards the n datagrams of the last read through the socket out.
func (f *Forwarder) ForwardBatch(reader *datagram.Reader, writer *datagram.Writer, n int, out *datagram.Conn) {
	f.forwardBatch(reader, writer, n, out)
}

// Route writes the header for a packet into out and reports whether the packet can
// be forwarded.
func (t *Table) Route(packet, out []byte) bool {
	var h encap.Header
	if t.route(packet, &h) != reasonNone {
		return false
	}
	h.Put(out)
	return true
}
