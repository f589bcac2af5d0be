package endpoint

import (
	"context"
	"errors"
	"net"
	"time"

	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"

	"bergamotbank/connection/datagram"
	"bergamotbank/connection/encap"
	"bergamotbank/connection/flows"
	"bergamotbank/errkind"
	"bergamotbank/event"
)

const (
	// dropReportInterval is the interval between events about dropped packets.
	dropReportInterval = 10 * time.Second
	// ipv4VersionBits are the bits under versionMask in the first byte of an
	// unencapsulated IPv4 packet.
	ipv4VersionBits = 0x40
	versionMask     = 0xf0
)

// receive handles the datagrams of one socket until it is closed.
func (e *Endpoint) receive(c *datagram.Conn) error {
	reader := c.NewReader()
	writer := datagram.NewWriter()
	for {
		n, err := reader.Read()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "read from %s", c.Addr())
		}
		now := time.Now()
		for i := range n {
			e.handle(reader, writer, i, now)
		}
		failed := writer.Flush(e.sources.At(now))
		e.counters.sendFailed.Add(uint64(failed))
	}
}

// handle processes datagram i of the reader. Packets to forward are added to the
// writer.
func (e *Endpoint) handle(reader *datagram.Reader, writer *datagram.Writer, i int, now time.Time) {
	b := reader.Datagram(i)
	if len(b) > 0 && b[0]&versionMask == ipv4VersionBits {
		e.handleReply(b)
		return
	}
	var h encap.Header
	rest, err := h.Decode(b)
	if err != nil {
		e.counters.countMalformed(err)
		return
	}
	if !h.IsPacket() {
		e.handleHashes(&h, rest, now)
		return
	}
	skip := h.Size()
	decision, ok := e.decide(&h, rest, now)
	if !ok {
		return
	}
	switch decision.Verdict {
	case flows.Deliver:
		e.deliver(rest)
	case flows.Forward:
		forwarded := reader.Prefixed(i, skip, h.Size())
		h.Put(forwarded)
		writer.Add(forwarded, decision.To)
		e.counters.passed.Add(1)
	case flows.Drop:
		e.counters.countDrop(decision.Reason)
	}
}

// decide returns the decision on a caller's packet, or false if the packet is
// malformed.
func (e *Endpoint) decide(h *encap.Header, packet []byte, now time.Time) (flows.Decision, bool) {
	var segment encap.Segment
	if err := encap.ParseSegment(packet, &segment); err != nil {
		e.counters.malformed.Add(1)
		return flows.Decision{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Inbound(&segment, h, now), true
}

// handleReply processes an unencapsulated packet from the fabric, which belongs to
// an outgoing connection of this agent.
func (e *Endpoint) handleReply(packet []byte) {
	var segment encap.Segment
	if err := encap.ParseSegment(packet, &segment); err != nil {
		e.counters.malformed.Add(1)
		return
	}
	e.mu.Lock()
	decision := e.core.InboundReply(&segment)
	e.mu.Unlock()
	if decision.Verdict != flows.Deliver {
		e.counters.countDrop(decision.Reason)
		return
	}
	e.deliver(packet)
}

// handleHashes processes a registration or release from another agent.
func (e *Endpoint) handleHashes(h *encap.Header, rest []byte, now time.Time) {
	var list [encap.MaxHashes]uint64
	holder, hashes, err := encap.DecodeHashes(h, rest, &list)
	if err != nil {
		e.counters.malformed.Add(1)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if h.Kind == encap.KindRelease {
		e.core.HandleRelease(holder, hashes)
		return
	}
	refused := e.core.HandleRegistration(holder, hashes, now)
	e.counters.registrationsRefused.Add(uint64(refused))
}

// deliver hands a packet to the TCP stack.
func (e *Endpoint) deliver(packet []byte) {
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	e.link.InjectInbound(ipv4.ProtocolNumber, p)
	p.DecRef()
	e.counters.delivered.Add(1)
}

// outboundBatch is a batch of packets to the fabric with their buffers.
type outboundBatch struct {
	buffers [datagram.BatchSize][innerMTUBytes]byte
	writer  *datagram.Writer
}

// send sends packets from the TCP stack to the fabric until the context is done.
func (e *Endpoint) send(ctx context.Context) {
	batch := &outboundBatch{writer: datagram.NewWriter()}
	for {
		p := e.link.ReadContext(ctx)
		if p == nil {
			return
		}
		now := time.Now()
		for p != nil {
			e.addOutbound(batch, p, now)
			if batch.writer.Len() == datagram.BatchSize {
				break
			}
			p = e.link.Read()
		}
		failed := batch.writer.Flush(e.sources.At(now))
		e.counters.sendFailed.Add(uint64(failed))
	}
}

// addOutbound adds a packet from the TCP stack to the batch unless it must be
// dropped.
func (e *Endpoint) addOutbound(batch *outboundBatch, p *stack.PacketBuffer, now time.Time) {
	defer p.DecRef()
	packet := batch.buffers[batch.writer.Len()][:0]
	for _, part := range p.AsSlices() {
		packet = append(packet, part...)
	}
	var segment encap.Segment
	if err := encap.ParseSegment(packet, &segment); err != nil {
		e.counters.notTCPOut.Add(1)
		return
	}
	e.mu.Lock()
	decision := e.core.Outbound(&segment, now)
	e.mu.Unlock()
	if decision.Verdict != flows.Deliver {
		e.counters.countDrop(decision.Reason)
		return
	}
	batch.writer.Add(packet, e.options.Fabric)
	e.counters.sent.Add(1)
}

// tick calls flows.Core.Tick periodically and sends the messages that it returns.
func (e *Endpoint) tick(ctx context.Context) {
	ticker := time.NewTicker(flows.TickInterval)
	defer ticker.Stop()
	writer := datagram.NewWriter()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		e.mu.Lock()
		messages := e.core.Tick(now)
		e.mu.Unlock()
		e.sendMessages(writer, messages, now)
	}
}

func (e *Endpoint) sendMessages(writer *datagram.Writer, messages []flows.Message, now time.Time) {
	var registered uint64
	for _, m := range messages {
		b := encap.AppendHashes(nil, m.Kind, e.Addr(), m.Hashes)
		writer.Add(b, m.To)
		if writer.Len() == datagram.BatchSize {
			writer.Flush(e.sources.At(now))
		}
		e.counters.registrationBytes.Add(uint64(len(b)))
		if m.Kind == encap.KindRegistration {
			registered += uint64(len(m.Hashes))
		}
	}
	writer.Flush(e.sources.At(now))
	if registered == 0 {
		return
	}
	e.counters.flowsRegistered.Add(registered)
	e.options.Recorder.Record(event.Event{
		Kind:   event.FlowsRegistered,
		Server: e.options.Name,
		Count:  registered,
	})
}

// reportDrops periodically records an event if packets were dropped since the
// previous event.
func (e *Endpoint) reportDrops(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	var reportedDrops uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		dropped := e.counters.dropped()
		if dropped == reportedDrops {
			continue
		}
		e.options.Recorder.Record(event.Event{
			Kind:   event.PacketsDropped,
			Server: e.options.Name,
			Count:  dropped - reportedDrops,
		})
		reportedDrops = dropped
	}
}
