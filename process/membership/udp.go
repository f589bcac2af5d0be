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

// inboxSize is the number of datagrams that can wait for the core; more are
// dropped, which the protocol tolerates like loss in the network.
const inboxSize = 1024

// inboundDatagram is a decoded datagram.
type inboundDatagram struct {
	from     netip.AddrPort
	envelope *pb.Envelope
}

// udpEndpoint is the UDP side of the control address.
type udpEndpoint struct {
	conn  *net.UDPConn
	inbox chan inboundDatagram
}

// listenUDP opens the UDP side of the control address. Errors are of kind
// InvalidSettings.
func listenUDP(addr netip.AddrPort) (*udpEndpoint, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "listen on control address %v", addr)
	}
	return &udpEndpoint{conn: conn, inbox: make(chan inboundDatagram, inboxSize)}, nil
}

// addr returns the local address of the socket.
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
		case u.inbox <- inboundDatagram{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), envelope: envelope}:
		default:
		}
	}
}

// send sends a datagram; the protocol repeats lost ones.
func (u *udpEndpoint) send(a sendAction) {
	datagram, err := encodeEnvelope(a.envelope)
	if err != nil {
		return
	}
	_, _ = u.conn.WriteToUDPAddrPort(datagram, a.to)
}

// closeOnDone closes the socket when the context ends.
func (u *udpEndpoint) closeOnDone(ctx context.Context) error {
	<-ctx.Done()
	return errkind.Wrap(u.conn.Close(), errkind.Internal, "close control socket")
}

// jitter returns a period randomly varied by up to 10%.
func jitter(random *rand.Rand, period time.Duration) time.Duration {
	spread := int64(period / 5)
	if spread <= 0 {
		return period
	}
	return period - period/10 + time.Duration(random.Int64N(spread))
}

// newRandom returns a random number generator with a random seed.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
