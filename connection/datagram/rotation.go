package datagram

import (
	"net/netip"
	"time"
)

// RotationPeriod is the time for which one source port is used.
const RotationPeriod = 3 * time.Second

// Rotation is a set of sockets with different ports that take turns as the
// source of datagrams. A device in between that lost track of one pair of
// addresses thereby silences the path for one period at most.
type Rotation struct {
	conns []*Conn
}

// NewRotation opens count sockets at free ports of the IP address of addr. The
// error has kind InvalidSettings.
func NewRotation(addr netip.Addr, count int) (*Rotation, error) {
	r := &Rotation{}
	for range max(count, 1) {
		c, err := Listen(netip.AddrPortFrom(addr, 0), false)
		if err != nil {
			r.Close()
			return nil, err
		}
		r.conns = append(r.conns, c)
	}
	return r, nil
}

// At returns the socket whose turn it is at the given time.
func (r *Rotation) At(now time.Time) *Conn {
	turn := now.UnixNano() / int64(RotationPeriod)
	return r.conns[turn%int64(len(r.conns))]
}

// Conns returns all sockets.
func (r *Rotation) Conns() []*Conn {
	return r.conns
}

// Close closes all sockets.
func (r *Rotation) Close() {
	for _, c := range r.conns {
		_ = c.Close()
	}
}
