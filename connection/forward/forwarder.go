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

	receivers      = 4
	reportInterval = 10 * time.Second
	// packetLimit is the largest packet, in bytes, that still fits into the
	// agent's buffer together with the header.
	packetLimit = datagram.MaxSize - encap.MaxHeaderSize
)

// Options are the settings of a Forwarder.
type Options struct {
	// Listen is the address at which the fabric's datagrams arrive.
	Listen netip.AddrPort
	// Recorder takes events about dropped packets.
	Recorder event.Recorder
	// SourcePorts is the number of source ports that take turns towards agents.
	// 0 means DefaultSourcePorts.
	SourcePorts int
}

// Forwarder moves packets from the fabric to the agents. It keeps no state for
// flows.
type Forwarder struct {
	conns    []*datagram.Conn
	sources  *datagram.Rotation
	recorder event.Recorder
	plane    atomic.Pointer[Table]
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
	for range receivers {
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

// SetTable puts a new plane in force for all following packets.
func (f *Forwarder) SetTable(p *Table) {
	f.plane.Store(p)
}

// Counters returns the counts since the start.
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
		f.report(ctx)
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
			return errkind.Wrap(err, errkind.Internal, "read from fabric")
		}
		f.forwardBatch(reader, writer, n, f.sources.At(time.Now()))
	}
}

// forwardBatch forwards the n datagrams of the last read.
func (f *Forwarder) forwardBatch(reader *datagram.Reader, writer *datagram.Writer, n int, source *datagram.Conn) {
	var counts batchCounts
	plane := f.plane.Load()
	for i := range n {
		packet := reader.Datagram(i)
		var header encap.Header
		why := plane.route(packet, &header)
		if why != reasonNone {
			counts.drops[why]++
			continue
		}
		datagram := reader.Prefixed(i, 0, header.Size())
		header.Put(datagram)
		writer.Add(datagram, header.Address(0))
		counts.forwarded++
		counts.forwardedBytes += uint64(len(packet))
	}
	failed := uint64(writer.Flush(source))
	counts.drops[reasonSendFailed] += failed
	counts.forwarded -= failed
	f.counters.add(&counts)
}

// route fills the header for a packet: the owner of its flow comes first, then
// the former owners.
func (p *Table) route(packet []byte, h *encap.Header) reason {
	if p == nil {
		return reasonNoPlane
	}
	if len(packet) > packetLimit {
		return reasonTooLarge
	}
	var segment encap.Segment
	if err := encap.ParseSegment(packet, &segment); err != nil {
		return parseReason(err)
	}
	s := p.services[segment.Destination]
	if s == nil {
		return reasonNoService
	}
	var candidates [steering.MaxCandidates]netip.AddrPort
	key := segment.FlowKeyToService()
	n := s.history.Candidates(key.Hash(), &candidates)
	if n == 0 {
		return reasonNoServer
	}
	h.Kind = encap.KindPacket
	h.HopLimit = encap.DefaultHopLimit
	h.ConfigVersion = p.version
	for _, addr := range candidates[:n] {
		h.Add(addr)
	}
	h.Visit(candidates[0])
	return reasonNone
}

func parseReason(err error) reason {
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

// report records an event when packets were dropped since the last one.
func (f *Forwarder) report(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		dropped := f.dropped()
		if dropped == reported {
			continue
		}
		f.recorder.Record(event.Event{Kind: event.PacketsDropped, Count: dropped - reported})
		reported = dropped
	}
}

func (f *Forwarder) dropped() uint64 {
	var sum uint64
	for i := range f.counters.drops {
		sum += f.counters.drops[i].Load()
	}
	return sum
}
