package forward

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotbank/connection/datagram"
	"bergamotbank/connection/encap"
	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/version/steering"
)

const (
	// DefaultSourcePorts is the number of source ports towards agents.
	DefaultSourcePorts = 4

	receiverSockets    = 4
	dropReportInterval = 10 * time.Second
	// maxPacketSize is the size in bytes of the largest packet that fits into the
	// agent's buffer together with the header.
	maxPacketSize = datagram.MaxSize - encap.MaxHeaderSize
)

// Options are the settings of a Forwarder.
type Options struct {
	// Listen is the address at which the fabric's datagrams arrive.
	Listen netip.AddrPort
	// Recorder receives events about dropped packets.
	Recorder event.Recorder
	// SourcePorts is the number of source ports towards agents, which are used in
	// rotation. 0 means DefaultSourcePorts.
	SourcePorts int
}

// Forwarder forwards packets from the network fabric to the agents. It keeps no
// per-flow state.
type Forwarder struct {
	conns    []*datagram.Conn
	sources  *datagram.Rotation
	recorder event.Recorder
	table    atomic.Pointer[Table]
	counters counters
}

// New opens the sockets of a forwarder. The error has kind InvalidSettings.
func New(options Options) (*Forwarder, error) {
	f := &Forwarder{recorder: options.Recorder}
	if f.recorder == nil {
		f.recorder = event.Discard{}
	}
	ports := options.SourcePorts
	if ports <= 0 {
		ports = DefaultSourcePorts
	}
	sources, err := datagram.NewRotation(options.Listen.Addr(), ports)
	if err != nil {
		return nil, err
	}
	f.sources = sources
	if err := f.listen(options.Listen); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// listen opens one socket per receiver, all at the same address.
func (f *Forwarder) listen(addr netip.AddrPort) error {
	for range receiverSockets {
		c, err := datagram.Listen(addr, true)
		if err != nil {
			return err
		}
		f.conns = append(f.conns, c)
		addr = c.Addr()
	}
	return nil
}

func (f *Forwarder) close() {
	for _, c := range f.conns {
		_ = c.Close()
	}
	f.sources.Close()
}

// Addr returns the address at which the fabric's datagrams arrive.
func (f *Forwarder) Addr() netip.AddrPort {
	return f.conns[0].Addr()
}

// SetTable replaces the forwarding table for all following packets.
func (f *Forwarder) SetTable(table *Table) {
	f.table.Store(table)
}

// Counters returns the counts since the forwarder started.
func (f *Forwarder) Counters() Counters {
	return f.counters.snapshot()
}

// Run forwards packets until the context ends and then closes the sockets. The
// error has kind Internal.
func (f *Forwarder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, c := range f.conns {
		group.Go(func() error { return f.receive(c) })
	}
	group.Go(func() error {
		f.reportDrops(ctx)
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		f.close()
		return nil
	})
	return group.Wait()
}

func (f *Forwarder) receive(c *datagram.Conn) error {
	reader := c.NewReader()
	writer := datagram.NewWriter()
	for {
		n, err := reader.Read()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "read from the fabric")
		}
		f.forwardBatch(reader, writer, n, f.sources.At(time.Now()))
	}
}

// forwardBatch forwards the n datagrams of the last read.
func (f *Forwarder) forwardBatch(reader *datagram.Reader, writer *datagram.Writer, n int, source *datagram.Conn) {
	var counts batchCounts
	table := f.table.Load()
	for i := range n {
		packet := reader.Datagram(i)
		var header encap.Header
		reason := table.route(packet, &header)
		if reason != reasonNone {
			counts.drops[reason]++
			continue
		}
		out := reader.Prefixed(i, 0, header.Size())
		header.Put(out)
		writer.Add(out, header.Address(0))
		counts.forwarded++
		counts.forwardedBytes += uint64(len(packet))
	}
	failed := uint64(writer.Flush(source))
	counts.drops[reasonSendFailed] += failed
	counts.forwarded -= failed
	f.counters.add(&counts)
}

// route fills in the header for a packet: the owner of its flow first, then the
// previous owners. It returns why the packet cannot be forwarded, or reasonNone.
func (t *Table) route(packet []byte, h *encap.Header) dropReason {
	if t == nil {
		return reasonNoTable
	}
	if len(packet) > maxPacketSize {
		return reasonTooLarge
	}
	var segment encap.Segment
	if err := encap.ParseSegment(packet, &segment); err != nil {
		return parseDropReason(err)
	}
	entry := t.entries[segment.Destination]
	if entry == nil {
		return reasonNoService
	}
	var candidates [steering.MaxCandidates]netip.AddrPort
	key := segment.FlowKeyToService()
	n := entry.history.Candidates(key.Hash(), &candidates)
	if n == 0 {
		return reasonNoServer
	}
	h.Kind = encap.KindPacket
	h.HopLimit = encap.DefaultHopLimit
	h.ConfigVersion = t.version
	for _, addr := range candidates[:n] {
		h.Add(addr)
	}
	h.Visit(candidates[0])
	return reasonNone
}

func parseDropReason(err error) dropReason {
	switch {
	case errors.Is(err, encap.ErrNotTCP):
		return reasonNotTCP
	case errors.Is(err, encap.ErrFragment):
		return reasonFragment
	case errors.Is(err, encap.ErrTCP):
		return reasonBrokenTCP
	default:
		return reasonNotIPv4
	}
}

// reportDrops periodically records an event if packets were dropped since the last
// event.
func (f *Forwarder) reportDrops(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		dropped := f.totalDropped()
		if dropped == reported {
			continue
		}
		f.recorder.Record(event.Event{Kind: event.PacketsDropped, Count: dropped - reported})
		reported = dropped
	}
}

func (f *Forwarder) totalDropped() uint64 {
	var sum uint64
	for i := range f.counters.drops {
		sum += f.counters.drops[i].Load()
	}
	return sum
}
