package fault

import "net"

// lingerSetter is a connection that can be closed with a TCP reset.
type lingerSetter interface {
	SetLinger(seconds int) error
}

// Reset closes a connection with a TCP reset (RST).
func Reset(conn net.Conn) {
	if l, ok := conn.(lingerSetter); ok {
		_ = l.SetLinger(0)
	}
	_ = conn.Close()
}
