package fault

import "net"

// lingerer is a connection whose closing can be made a reset.
type lingerer interface {
	SetLinger(seconds int) error
}

// Reset closes a TCP connection with a reset.
func Reset(conn net.Conn) {
	if l, ok := conn.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	_ = conn.Close()
}
