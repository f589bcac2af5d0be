package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"bergamotbank/errkind"
	pb "bergamotbank/process/membership/membershippb"
)

// inboxSize is the number of datagrams that wait for the core; more are dropped
// as the network would.
const inboxSize = 1024

// inbound is a decoded datagram.
type inbound struct {
	from     netip.AddrPort
	envelope *pb.Envelope
}

// udpEndpoint is the UDP side of the control address.
type udpEndpoint struct {
	conn  *net.UDPConn
	inbox chan inbound
}

// listenUDP opens the UDP side of the control address. Errors are of kind
// InvalidSettings.
func listenUDP(addr netip.AddrPort) (*udpEndpoint, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "listen on control address %v", addr)
	}
	return &udpEndpoint{conn: conn, inbox: make(chan inbound, inboxSize)}, nil
}

// addr returns the address that was opened.
func (u *udpEndpoint) addr() netip.AddrPort {
	return u.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// readLoop decodes datagrams until the socket is closed.
func (u *udpEndpoint) readLoop() error {
	buffer := make([]byte, 65536)
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		envelope, err := decodeEnvelope(buffer[:n])
		if err != nil {
			continue
		}
		select {
		case u.inbox <- inbound{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), envelope: envelope}:
		default:
		}
	}
}

// send sends a datagram; a lost one is repeated by the protocol.
func (u *udpEndpoint) send(a sendAction) {
	datagram, err := encodeEnvelope(a.envelope)
	if err != nil {
		return
	}
	_, _ = u.conn.WriteToUDPAddrPort(datagram, a.to)
}

// closeAtEnd closes the socket at the end of the context.
func (u *udpEndpoint) closeAtEnd(ctx context.Context) error {
	<-ctx.Done()
	return errkind.Wrap(u.conn.Close(), errkind.Internal, "close control socket")
}

// jitter returns a period changed by up to a tenth.
func jitter(random *rand.Rand, period time.Duration) time.Duration {
	spread := int64(period / 5)
	if spread <= 0 {
		return period
	}
	return period - period/10 + time.Duration(random.Int64N(spread))
}

// newRandom returns a source of randomness for one process.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
