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
	reportInterval = 10 * time.Second
	// ipv4Prefix is the first half byte of a bare IPv4 packet.
	ipv4Prefix = 0x40
	prefixMask = 0xf0
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

// handle treats one datagram. Packets to pass on are added to the writer.
func (e *Endpoint) handle(reader *datagram.Reader, writer *datagram.Writer, i int, now time.Time) {
	b := reader.Datagram(i)
	if len(b) > 0 && b[0]&prefixMask == ipv4Prefix {
		e.handleAnswer(b)
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
		passed := reader.Prefixed(i, skip, h.Size())
		h.Put(passed)
		writer.Add(passed, decision.To)
		e.counters.passed.Add(1)
	case flows.Drop:
		e.counters.drop(decision.Reason)
	}
}

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

// handleAnswer treats a bare packet of the fabric: an answer to an own call.
func (e *Endpoint) handleAnswer(packet []byte) {
	var segment encap.Segment
	if err := encap.ParseSegment(packet, &segment); err != nil {
		e.counters.malformed.Add(1)
		return
	}
	e.mu.Lock()
	decision := e.core.InboundReply(&segment)
	e.mu.Unlock()
	if decision.Verdict != flows.Deliver {
		e.counters.drop(decision.Reason)
		return
	}
	e.deliver(packet)
}

// handleHashes treats a registration or release of another agent.
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

// deliver gives a packet to the TCP stack.
func (e *Endpoint) deliver(packet []byte) {
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	e.link.InjectInbound(ipv4.ProtocolNumber, p)
	p.DecRef()
	e.counters.delivered.Add(1)
}

// outboundBatch holds the buffers of one batch of packets to the fabric.
type outboundBatch struct {
	buffers [datagram.BatchSize][innerMTU]byte
	writer  *datagram.Writer
}

// send moves packets of the TCP stack to the fabric.
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

// addOutbound adds a packet of the TCP stack to the batch if it may leave.
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
		e.counters.drop(decision.Reason)
		return
	}
	batch.writer.Add(packet, e.options.Fabric)
	e.counters.sent.Add(1)
}

// tick drives the flow decisions and sends registrations.
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

// report records an event when packets were dropped since the last one.
func (e *Endpoint) report(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		dropped := e.counters.dropped()
		if dropped == reported {
			continue
		}
		e.options.Recorder.Record(event.Event{
			Kind:   event.PacketsDropped,
			Server: e.options.Name,
			Count:  dropped - reported,
		})
		reported = dropped
	}
}
