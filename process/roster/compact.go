package roster

import (
	"encoding/binary"
	"math"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
)

// compactHeartbeat is a heartbeat for a member that knows the sender's name, domain, service and
// slots: what may have changed since the last one, in half of the bytes.
type compactHeartbeat struct {
	state steer.State
	// heard tells that the sender has lately heard the receiver, wantsReply that it wants a
	// heartbeat at once.
	heard, wantsReply bool
	// run is the lower half of the sender's run.
	run              uint32
	peer             passthrough.Endpoint
	version          uint64
	interval         time.Duration
	confirmedAge     time.Duration
	meanOpenRequests float64
	flows            int
	incarnation      uint32
}

// staticFields is what a beat leaves out.
type staticFields struct {
	name, domain, service string
	slots                 int
}

func staticFieldsOf(m Member) staticFields {
	return staticFields{m.Name, m.Domain, m.Service, m.Report.Slots}
}

// compactHeartbeatSize is the size of a beat, in bytes.
const compactHeartbeatSize = 35

// compactOpenRequestsScale is the unit of the mean number of open requests in a beat.
const compactOpenRequestsScale = 100

// compactHeartbeatOf returns what a beat keeps of a heartbeat.
func compactHeartbeatOf(h *heartbeat) compactHeartbeat {
	return compactHeartbeat{
		state: h.Report.State, heard: h.heard, wantsReply: h.wantsReply, run: uint32(h.Run), peer: h.Peer, version: h.Version, interval: h.interval,
		confirmedAge: h.ConfirmedAge, meanOpenRequests: h.Report.MeanOpenRequests, flows: h.Report.Flows, incarnation: h.Report.Incarnation,
	}
}

// encode returns the beat on the wire.
func (b *compactHeartbeat) encode() []byte {
	flags := byte(0)
	if b.heard {
		flags |= heardFlag
	}
	if b.wantsReply {
		flags |= wantsReplyFlag
	}
	w := make([]byte, 0, compactHeartbeatSize)
	w = append(w, byte(passthrough.Beat), heartbeatVersion, byte(b.state), flags)
	w = binary.LittleEndian.AppendUint32(w, b.run)
	w = binary.LittleEndian.AppendUint64(w, b.version)
	w = binary.LittleEndian.AppendUint16(w, milliseconds(b.interval))
	w = binary.LittleEndian.AppendUint16(w, milliseconds(b.confirmedAge))
	w = binary.LittleEndian.AppendUint16(w, uint16(min(b.meanOpenRequests*compactOpenRequestsScale, math.MaxUint16)))
	w = binary.LittleEndian.AppendUint16(w, uint16(min(b.flows, math.MaxUint16)))
	w = binary.LittleEndian.AppendUint32(w, b.incarnation)
	w = binary.LittleEndian.AppendUint32(w, b.peer.IP())
	w = binary.LittleEndian.AppendUint16(w, b.peer.Port())
	return append(w, 0)
}

// parseCompactHeartbeat reads a beat. The error has kind Malformed.
func parseCompactHeartbeat(w []byte) (compactHeartbeat, error) {
	if len(w) != compactHeartbeatSize || w[1] != heartbeatVersion {
		return compactHeartbeat{}, errkind.New(errkind.Malformed, "beat of %d bytes or of another protocol version", len(w))
	}
	b := compactHeartbeat{
		state:            steer.State(w[2]),
		heard:            w[3]&heardFlag != 0,
		wantsReply:       w[3]&wantsReplyFlag != 0,
		run:              binary.LittleEndian.Uint32(w[4:]),
		version:          binary.LittleEndian.Uint64(w[8:]),
		interval:         time.Duration(binary.LittleEndian.Uint16(w[16:])) * time.Millisecond,
		confirmedAge:     time.Duration(binary.LittleEndian.Uint16(w[18:])) * time.Millisecond,
		meanOpenRequests: float64(binary.LittleEndian.Uint16(w[20:])) / compactOpenRequestsScale,
		flows:            int(binary.LittleEndian.Uint16(w[22:])),
		incarnation:      binary.LittleEndian.Uint32(w[24:]),
		peer:             passthrough.MakeEndpoint(binary.LittleEndian.Uint32(w[28:]), binary.LittleEndian.Uint16(w[32:])),
	}
	if b.peer == 0 || b.interval <= 0 {
		return compactHeartbeat{}, errkind.New(errkind.Malformed, "beat without address or interval")
	}
	return b, nil
}

// HandleCompactHeartbeat takes a datagram of kind HandleCompactHeartbeat. The sender of one whose run is not known gets
// heartbeats that say that it has not been heard, so that it tells everything.
func (r *Roster) HandleCompactHeartbeat(datagram []byte, now time.Duration) {
	b, err := parseCompactHeartbeat(datagram)
	if err != nil {
		r.malformed++
		return
	}
	c := r.peers[b.peer]
	if c == nil || !c.known {
		r.Add(b.peer, 0)
		return
	}
	if uint32(c.member.Run) != b.run {
		c.heardAt = min(c.heardAt, now-c.reachableTimeout())
		return
	}
	h := heartbeat{Member: c.member, interval: b.interval, heard: b.heard, wantsReply: b.wantsReply}
	h.Version, h.ConfirmedAge = b.version, b.confirmedAge
	h.Report.State, h.Report.MeanOpenRequests, h.Report.Flows, h.Report.Incarnation = b.state, b.meanOpenRequests, b.flows, b.incarnation
	r.applyHeartbeat(c, &h, now)
}
