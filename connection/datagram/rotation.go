package datagram

import (
	"net/netip"
	"time"
)

// RotationPeriod is how long each source port is used at a time.
const RotationPeriod = 3 * time.Second

// Rotation is a set of sockets with different ports that are used in rotation as
// the source of datagrams. If a middlebox drops the datagrams of one address pair,
// the path is thereby interrupted for at most one period.
type Rotation struct {
	conns []*Conn
}

// NewRotation opens count sockets, at least one, at free ports of the IP address.
// The error has kind InvalidSettings.
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

// At returns the socket to use at the given time.
func (r *Rotation) At(now time.Time) *Conn {
	period := now.UnixNano() / int64(RotationPeriod)
	return r.conns[period%int64(len(r.conns))]
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
