// Package datagram reads and writes UDP datagrams in batches without
// allocation.
package datagram

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"bergamotbank/errkind"
)

const (
	// BatchSize is the maximum number of datagrams per system call.
	BatchSize = 64
	// MaxSize is the maximum size of a datagram read, in bytes.
	MaxSize = 2048
	// Headroom is the number of free bytes in front of each datagram read, so
	// that a header can be prepended without a copy.
	Headroom = 64

	socketBufferSize = 4 << 20 // bytes
)

// Conn is a UDP socket.
type Conn struct {
	udp    *net.UDPConn
	reader *ipv4.PacketConn
	writer *ipv4.PacketConn
}

// noSenderConn is a socket whose batched reads do not report the sender. The
// ipv4 package allocates a net.Addr per datagram for a UDP connection, but not
// for a connection with a SetLinger method, which it treats as TCP.
type noSenderConn struct {
	*net.UDPConn
}

// SetLinger does nothing. It makes the ipv4 package skip the sender's address.
func (noSenderConn) SetLinger(int) error { return nil }

// Listen opens a UDP socket at the address. If shared is set, several sockets may
// use one address, and the kernel distributes the senders among them. With port 0
// the kernel chooses a port that no other socket uses. The error has kind
// InvalidSettings.
func Listen(addr netip.AddrPort, shared bool) (*Conn, error) {
	config := net.ListenConfig{}
	// If the option were set before the kernel chooses a port, it could choose one at
	// which another process shares its sockets.
	joins := shared && addr.Port() != 0
	if joins {
		config.Control = setReusePort
	}
	pc, err := config.ListenPacket(context.Background(), "udp4", addr.String())
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "listen on UDP address %s", addr)
	}
	udp := pc.(*net.UDPConn)
	if shared && !joins {
		if err := shareBound(udp); err != nil {
			_ = udp.Close()
			return nil, errkind.Wrap(err, errkind.InvalidSettings, "share UDP address %s", udp.LocalAddr())
		}
	}
	// Errors are ignored, since smaller buffers work too.
	_ = udp.SetReadBuffer(socketBufferSize)
	_ = udp.SetWriteBuffer(socketBufferSize)
	return &Conn{
		udp:    udp,
		reader: ipv4.NewPacketConn(noSenderConn{udp}),
		writer: ipv4.NewPacketConn(udp),
	}, nil
}

// shareBound lets other sockets use the address of a bound socket.
func shareBound(udp *net.UDPConn) error {
	raw, err := udp.SyscallConn()
	if err != nil {
		return err
	}
	return setReusePort("", "", raw)
}

func setReusePort(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optErr
}

// Addr returns the local address.
func (c *Conn) Addr() netip.AddrPort {
	addr := c.udp.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// Close closes the socket. A blocked Read returns an error.
func (c *Conn) Close() error {
	return c.udp.Close()
}

// Reader reads datagrams from one socket in batches. It is not safe for concurrent
// use.
type Reader struct {
	conn     *Conn
	buffers  [][]byte
	messages []ipv4.Message
}

// NewReader returns a reader with its own buffers.
func (c *Conn) NewReader() *Reader {
	r := &Reader{
		conn:     c,
		buffers:  make([][]byte, BatchSize),
		messages: make([]ipv4.Message, BatchSize),
	}
	for i := range r.messages {
		r.buffers[i] = make([]byte, Headroom+MaxSize)
		r.messages[i].Buffers = [][]byte{r.buffers[i][Headroom:]}
	}
	return r
}

// Read waits for datagrams and returns how many were read, at most BatchSize.
func (r *Reader) Read() (int, error) {
	for {
		n, err := r.conn.reader.ReadBatch(r.messages, 0)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// Datagram returns datagram i of the last Read. It is valid until the next Read.
func (r *Reader) Datagram(i int) []byte {
	return r.buffers[i][Headroom : Headroom+r.messages[i].N]
}

// Prefixed returns datagram i of the last Read without its first skip bytes and
// with size free bytes in front. size must not exceed Headroom.
func (r *Reader) Prefixed(i, skip, size int) []byte {
	return r.buffers[i][Headroom+skip-size : Headroom+r.messages[i].N]
}

// Writer collects datagrams and writes them in one system call. It is not safe for
// concurrent use.
type Writer struct {
	messages []ipv4.Message
	addrs    []net.UDPAddr
	count    int
}

// NewWriter returns an empty writer for BatchSize datagrams.
func NewWriter() *Writer {
	w := &Writer{
		messages: make([]ipv4.Message, BatchSize),
		addrs:    make([]net.UDPAddr, BatchSize),
	}
	for i := range w.messages {
		w.addrs[i].IP = make(net.IP, net.IPv4len)
		w.messages[i].Addr = &w.addrs[i]
		w.messages[i].Buffers = make([][]byte, 1)
	}
	return w
}

// Add queues a datagram to an IPv4 address. The bytes must not change until Flush.
// At most BatchSize datagrams may be added between flushes.
func (w *Writer) Add(b []byte, to netip.AddrPort) {
	m := &w.messages[w.count]
	m.Buffers[0] = b
	ip := to.Addr().As4()
	copy(w.addrs[w.count].IP, ip[:])
	w.addrs[w.count].Port = int(to.Port())
	w.count++
}

// Len returns the number of queued datagrams.
func (w *Writer) Len() int {
	return w.count
}

// Flush sends the queued datagrams through the socket and returns how many the
// kernel rejected.
func (w *Writer) Flush(c *Conn) (failed int) {
	pending := w.messages[:w.count]
	w.count = 0
	for len(pending) > 0 {
		n, err := c.writer.WriteBatch(pending, 0)
		if err != nil || n <= 0 {
			// The first datagram is the rejected one.
			failed++
			n = 1
		}
		pending = pending[n:]
	}
	return failed
}
