package endpoint

import (
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"bergamotbank/errkind"
)

const (
	nicID = 1
	// innerMTUBytes leaves room for the outer headers in an Ethernet frame.
	innerMTUBytes = 1400
	// outboundQueueSize is the maximum number of packets queued between the TCP
	// stack and the sender.
	outboundQueueSize = 4096

	keepaliveIdle     = 60 * time.Second
	keepaliveInterval = 30 * time.Second
	keepaliveCount    = 8
	timeWaitTimeout   = 10 * time.Second

	// maxRTO limits the delay until traffic resumes after an outage, and maxRetries
	// keeps connections open through an outage of five minutes.
	maxRTO     = 3 * time.Second
	maxRetries = 100

	minBufferBytes     = 4 << 10   // bytes
	defaultBufferBytes = 64 << 10  // bytes
	maxBufferBytes     = 512 << 10 // bytes
)

// newStack returns a TCP stack that accepts packets to any address through link.
func newStack(source netip.Addr) (*stack.Stack, *channel.Endpoint, error) {
	s := stack.New(stack.Options{
		NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
		TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
	})
	link := channel.New(outboundQueueSize, innerMTUBytes, "")
	if err := configure(s, link, source); err != nil {
		s.Destroy()
		return nil, nil, errkind.New(errkind.Internal, "configure TCP stack: %s", err)
	}
	return s, link, nil
}

func configure(s *stack.Stack, link *channel.Endpoint, source netip.Addr) tcpip.Error {
	if err := s.CreateNIC(nicID, link); err != nil {
		return err
	}
	// The service's address may change, so the stack accepts any destination; the
	// flows package checks it.
	if err := s.SetPromiscuousMode(nicID, true); err != nil {
		return err
	}
	if err := s.SetSpoofing(nicID, true); err != nil {
		return err
	}
	s.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	if source.IsValid() {
		if err := addSource(s, source); err != nil {
			return err
		}
	}
	return setTCPOptions(s)
}

func addSource(s *stack.Stack, source netip.Addr) tcpip.Error {
	address := tcpip.ProtocolAddress{
		Protocol:          ipv4.ProtocolNumber,
		AddressWithPrefix: tcpip.AddrFrom4(source.As4()).WithPrefix(),
	}
	return s.AddProtocolAddress(nicID, address, stack.AddressProperties{})
}

// setTCPOptions sets buffer sizes, loss recovery and timeouts. RACK and its tail
// loss probes are off: if the acknowledgements of a probe are lost too, this
// version of the stack does not rearm a timer, and the connection stalls until the
// remote end sends.
func setTCPOptions(s *stack.Stack) tcpip.Error {
	recovery := tcpip.TCPRecovery(0)
	sack := tcpip.TCPSACKEnabled(true)
	moderate := tcpip.TCPModerateReceiveBufferOption(true)
	wait := tcpip.TCPTimeWaitTimeoutOption(timeWaitTimeout)
	receive := tcpip.TCPReceiveBufferSizeRangeOption{Min: minBufferBytes, Default: defaultBufferBytes, Max: maxBufferBytes}
	send := tcpip.TCPSendBufferSizeRangeOption{Min: minBufferBytes, Default: defaultBufferBytes, Max: maxBufferBytes}
	rto := tcpip.TCPMaxRTOOption(maxRTO)
	retries := tcpip.TCPMaxRetriesOption(maxRetries)
	for _, option := range []tcpip.SettableTransportProtocolOption{
		&sack, &recovery, &moderate, &wait, &receive, &send, &rto, &retries,
	} {
		if err := s.SetTransportProtocolOption(tcp.ProtocolNumber, option); err != nil {
			return err
		}
	}
	return nil
}

// setKeepalive enables keepalive probes, which detect an unresponsive remote end.
func setKeepalive(ep tcpip.Endpoint) {
	idle := tcpip.KeepaliveIdleOption(keepaliveIdle)
	interval := tcpip.KeepaliveIntervalOption(keepaliveInterval)
	// These options cannot fail on a TCP endpoint.
	_ = ep.SetSockOpt(&idle)
	_ = ep.SetSockOpt(&interval)
	_ = ep.SetSockOptInt(tcpip.KeepaliveCountOption, keepaliveCount)
	ep.SocketOptions().SetKeepAlive(true)
}

func fullAddress(addr netip.AddrPort) tcpip.FullAddress {
	full := tcpip.FullAddress{NIC: nicID, Port: addr.Port()}
	if addr.Addr().IsValid() {
		full.Addr = tcpip.AddrFrom4(addr.Addr().As4())
	}
	return full
}
