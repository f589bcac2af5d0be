package forward

import (
	"bergamotbank/connection/datagram"
	"bergamotbank/connection/encap"
)

// SharedTables counts the services whose current table is the same object.
func SharedTables(a, b *Table) int {
	shared := 0
	for addr, s := range a.services {
		if s.history.Current() == b.services[addr].history.Current() {
			shared++
		}
	}
	return shared
}

// ForwardBatch forwards the n datagrams of the last read through a socket.
func (f *Forwarder) ForwardBatch(reader *datagram.Reader, writer *datagram.Writer, n int, out *datagram.Conn) {
	f.forwardBatch(reader, writer, n, out)
}

// Route writes the header for a packet into out and tells whether there is one.
func (p *Table) Route(packet, out []byte) bool {
	var h encap.Header
	if p.route(packet, &h) != reasonNone {
		return false
	}
	h.Put(out)
	return true
}
