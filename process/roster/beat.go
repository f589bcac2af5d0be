package roster

import (
	"encoding/binary"
	"math"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
)

// beat is a heartbeat for a member that knows the sender's name, domain, service and
// slots: what may have changed since the last one, in half of the bytes.
type beat struct {
	state steer.State
	// heard tells that the sender has lately heard the receiver, asks that it wants a
	// heartbeat at once.
	heard, asks bool
	// run is the lower half of the sender's run.
	run         uint32
	peer        passthrough.Endpoint
	version     uint64
	interval    time.Duration
	confirmed   time.Duration
	work        float64
	flows       int
	incarnation uint32
}

// lasting is what a beat leaves out.
type lasting struct {
	name, domain, service string
	slots                 int
}

func lastingOf(m Member) lasting { return lasting{m.Name, m.Domain, m.Service, m.Report.Slots} }

// beatSize is the size of a beat, in bytes.
const beatSize = 35

// hundredth is the unit of the mean number of open requests in a beat.
const hundredth = 100

// beatOf returns what a beat keeps of a heartbeat.
func beatOf(h *hello) beat {
	return beat{
		state: h.Report.State, heard: h.heard, asks: h.asks, run: uint32(h.Run), peer: h.Peer, version: h.Version, interval: h.interval,
		confirmed: h.ConfirmedAge, work: h.Report.MeanOpenRequests, flows: h.Report.Flows, incarnation: h.Report.Incarnation,
	}
}

// encode returns the beat on the wire.
func (b *beat) encode() []byte {
	flags := byte(0)
	if b.heard {
		flags |= heardFlag
	}
	if b.asks {
		flags |= asksFlag
	}
	w := make([]byte, 0, beatSize)
	w = append(w, byte(passthrough.CompactHeartbeat), helloProtocol, byte(b.state), flags)
	w = binary.LittleEndian.AppendUint32(w, b.run)
	w = binary.LittleEndian.AppendUint64(w, b.version)
	w = binary.LittleEndian.AppendUint16(w, milliseconds(b.interval))
	w = binary.LittleEndian.AppendUint16(w, milliseconds(b.confirmed))
	w = binary.LittleEndian.AppendUint16(w, uint16(min(b.work*hundredth, math.MaxUint16)))
	w = binary.LittleEndian.AppendUint16(w, uint16(min(b.flows, math.MaxUint16)))
	w = binary.LittleEndian.AppendUint32(w, b.incarnation)
	w = binary.LittleEndian.AppendUint32(w, b.peer.IP())
	w = binary.LittleEndian.AppendUint16(w, b.peer.Port())
	return append(w, 0)
}

// parseBeat reads a beat. The error has kind Malformed.
func parseBeat(w []byte) (beat, error) {
	if len(w) != beatSize || w[1] != helloProtocol {
		return beat{}, errkind.New(errkind.Malformed, "beat of %d bytes or of another protocol version", len(w))
	}
	b := beat{
		state:       steer.State(w[2]),
		heard:       w[3]&heardFlag != 0,
		asks:        w[3]&asksFlag != 0,
		run:         binary.LittleEndian.Uint32(w[4:]),
		version:     binary.LittleEndian.Uint64(w[8:]),
		interval:    time.Duration(binary.LittleEndian.Uint16(w[16:])) * time.Millisecond,
		confirmed:   time.Duration(binary.LittleEndian.Uint16(w[18:])) * time.Millisecond,
		work:        float64(binary.LittleEndian.Uint16(w[20:])) / hundredth,
		flows:       int(binary.LittleEndian.Uint16(w[22:])),
		incarnation: binary.LittleEndian.Uint32(w[24:]),
		peer:        passthrough.MakeEndpoint(binary.LittleEndian.Uint32(w[28:]), binary.LittleEndian.Uint16(w[32:])),
	}
	if b.peer == 0 || b.interval <= 0 {
		return beat{}, errkind.New(errkind.Malformed, "beat without address or interval")
	}
	return b, nil
}

// HandleCompactHeartbeat takes a datagram of kind HandleCompactHeartbeat. The sender of one whose run is not known gets
// heartbeats that say that it has not been heard, so that it tells everything.
func (r *Roster) HandleCompactHeartbeat(datagram []byte, now time.Duration) {
	b, err := parseBeat(datagram)
	if err != nil {
		r.malformed++
		return
	}
	c := r.contacts[b.peer]
	if c == nil || !c.known {
		r.Add(b.peer, 0)
		return
	}
	if uint32(c.member.Run) != b.run {
		c.heardAt = min(c.heardAt, now-c.freshFor())
		return
	}
	h := hello{Member: c.member, interval: b.interval, heard: b.heard, asks: b.asks}
	h.Version, h.ConfirmedAge = b.version, b.confirmed
	h.Report.State, h.Report.MeanOpenRequests, h.Report.Flows, h.Report.Incarnation = b.state, b.work, b.flows, b.incarnation
	r.take(c, &h, now)
}
