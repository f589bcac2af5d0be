package caller

import (
	"context"
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	netstackipv4 "gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"bergamotbank/errkind"
)

const (
	nicID = 1
	// mtuBytes is the MTU of the inner packets.
	mtuBytes = 1400
	// linkQueuePackets is the maximum number of packets queued for sending.
	linkQueuePackets = 8192
	batchPackets     = 64
	// datagramBytes is the size of a receive buffer.
	datagramBytes = 2048
	// socketBufferBytes is the requested size of the socket buffers.
	socketBufferBytes = 8 << 20
	firstPort         = 1024
	lastPort          = 65535
	addressBits       = 32
)

// Network is a user-space TCP/IP stack. Its IPv4 packets are the payloads of UDP
// datagrams, without a further header, between one socket and the fabric.
type Network struct {
	stack      *stack.Stack
	link       *channel.Endpoint
	conn       *net.UDPConn
	packetConn *ipv4.PacketConn
	fabric     *net.UDPAddr
	cancel     context.CancelFunc
}

// NewNetwork binds a UDP socket to local and starts a stack with the given inner
// address. The stack runs until Close is called.
func NewNetwork(local, fabric netip.AddrPort, address netip.Addr) (*Network, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "listen on %s", local)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	link := channel.New(linkQueuePackets, mtuBytes, "")
	s, err := newStack(link, address)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Network{
		stack:      s,
		link:       link,
		conn:       conn,
		packetConn: ipv4.NewPacketConn(conn),
		fabric:     net.UDPAddrFromAddrPort(fabric),
		cancel:     cancel,
	}
	go n.receive()
	go n.send(ctx)
	return n, nil
}

func newStack(link *channel.Endpoint, address netip.Addr) (*stack.Stack, error) {
	s := stack.New(stack.Options{
		NetworkProtocols:   []stack.NetworkProtocolFactory{netstackipv4.NewProtocol},
		TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
	})
	sack := tcpip.TCPSACKEnabled(true)
	protocolAddress := tcpip.ProtocolAddress{
		Protocol: netstackipv4.ProtocolNumber,
		AddressWithPrefix: tcpip.AddressWithPrefix{
			Address:   tcpip.AddrFrom4(address.As4()),
			PrefixLen: addressBits,
		},
	}
	steps := []func() tcpip.Error{
		func() tcpip.Error { return s.SetTransportProtocolOption(tcp.ProtocolNumber, &sack) },
		func() tcpip.Error { return s.CreateNIC(nicID, link) },
		func() tcpip.Error {
			return s.AddProtocolAddress(nicID, protocolAddress, stack.AddressProperties{})
		},
		func() tcpip.Error { return s.SetPortRange(firstPort, lastPort) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errkind.New(errkind.Internal, "user-space network: %s", err)
		}
	}
	s.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	return s, nil
}

// DialContext opens a TCP connection to an inner address IP:PORT. It has the
// signature of http.Transport.DialContext.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "parse address %s", address)
	}
	full := tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(to.Addr().As4()), Port: to.Port()}
	return gonet.DialContextTCP(ctx, n.stack, full, netstackipv4.ProtocolNumber)
}

// Close stops the stack and closes all its connections.
func (n *Network) Close() {
	n.cancel()
	_ = n.conn.Close()
	n.stack.Close()
	n.link.Close()
}

// receive passes received packets to the stack until the socket is closed.
func (n *Network) receive() {
	messages := make([]ipv4.Message, batchPackets)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, datagramBytes)}
	}
	for {
		count, err := n.packetConn.ReadBatch(messages, 0)
		if err != nil {
			return
		}
		for i := range messages[:count] {
			n.inject(messages[i].Buffers[0][:messages[i].N])
		}
	}
}

func (n *Network) inject(packet []byte) {
	if len(packet) == 0 || header.IPVersion(packet) != header.IPv4Version {
		return
	}
	pkt := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	n.link.InjectInbound(header.IPv4ProtocolNumber, pkt)
	pkt.DecRef()
}

// send writes the packets of the stack in batches until ctx is canceled.
func (n *Network) send(ctx context.Context) {
	messages := make([]ipv4.Message, 0, batchPackets)
	for {
		pkt := n.link.ReadContext(ctx)
		if pkt == nil {
			return
		}
		messages = messages[:0]
		for pkt != nil {
			messages = append(messages, n.message(pkt))
			if len(messages) == batchPackets {
				break
			}
			pkt = n.link.Read()
		}
		n.write(messages)
	}
}

func (n *Network) message(pkt *stack.PacketBuffer) ipv4.Message {
	view := pkt.ToView()
	pkt.DecRef()
	packet := append([]byte(nil), view.AsSlice()...)
	view.Release()
	return ipv4.Message{Buffers: [][]byte{packet}, Addr: n.fabric}
}

func (n *Network) write(messages []ipv4.Message) {
	for len(messages) > 0 {
		count, err := n.packetConn.WriteBatch(messages, 0)
		if err != nil || count == 0 {
			count = 1
		}
		messages = messages[count:]
	}
}
