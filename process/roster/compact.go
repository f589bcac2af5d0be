package roster

import (
	"encoding/binary"
	"math"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// compactHeartbeat is a heartbeat for a member that knows the sender's staticFields.
// It has about half the size of a full heartbeat.
type compactHeartbeat struct {
	state steer.State
	// receivesHeartbeats is true if the sender has recently received a heartbeat of
	// the receiver, wantsReply if it requests an immediate heartbeat.
	receivesHeartbeats, wantsReply bool
	// run holds the lower 32 bits of the sender's run.
	run     uint32
	peer    passthrough.Endpoint
	version uint64
	// hasEra is true if the heartbeat contains the lower 16 bits of the era of version and
	// held; otherwise both are 0.
	hasEra           bool
	era, held        uint16
	interval         time.Duration
	confirmedAge     time.Duration
	meanOpenRequests float64
	flows            int
	incarnation      uint32
	// acceptsLoad is true if the sender understands the long form, hasLoad if this is the long
	// form, which contains pending and serviceTime.
	acceptsLoad, hasLoad bool
	// acceptsEra is true if the sender understands compact heartbeats with an era.
	acceptsEra  bool
	pending     int
	serviceTime time.Duration
}

// staticFields are the fields that a compact heartbeat omits.
type staticFields struct {
	name, domain, service string
	slots                 int
}

func staticFieldsOf(m Member) staticFields {
	return staticFields{m.Name, m.Domain, m.Service, m.Report.Slots}
}

// compactHeartbeatSize is the size of the short form of a compact heartbeat, in bytes, of which
// the last one is 0. longCompactHeartbeatSize is that of the long form.
const (
	compactHeartbeatSize     = 35
	longCompactHeartbeatSize = compactHeartbeatSize - 1 + loadSize
)

// compactOpenRequestsScale is the factor by which a compact heartbeat multiplies the
// mean number of open requests.
const compactOpenRequestsScale = 100

// compactHeartbeatOf returns the compact form of a heartbeat.
func compactHeartbeatOf(h *heartbeat) compactHeartbeat {
	return compactHeartbeat{
		state: h.Report.State, receivesHeartbeats: h.receivesHeartbeats, wantsReply: h.wantsReply, run: uint32(h.Run), peer: h.Peer, version: h.Version.Index, interval: h.interval,
		confirmedAge: h.ConfirmedAge, meanOpenRequests: h.Report.MeanOpenRequests, flows: h.Report.Flows, incarnation: h.Report.Incarnation,
		acceptsEra: h.acceptsEra, hasEra: h.Version.Era != 0, era: uint16(h.Version.Era), held: h.Held, acceptsLoad: h.acceptsLoad, hasLoad: h.Report.HasLoad, pending: h.Report.Pending, serviceTime: h.Report.ServiceTime,
	}
}

// encode returns the wire format.
func (b *compactHeartbeat) encode() []byte {
	flags := byte(0)
	if b.receivesHeartbeats {
		flags |= receivesHeartbeatsFlag
	}
	if b.wantsReply {
		flags |= wantsReplyFlag
	}
	if b.acceptsLoad {
		flags |= acceptsLoadFlag
	}
	if b.acceptsEra {
		flags |= acceptsEraFlag
	}
	w := make([]byte, 0, longCompactHeartbeatSize+compactEraSize)
	w = append(w, byte(passthrough.CompactHeartbeat), heartbeatVersion, byte(b.state), flags)
	w = binary.LittleEndian.AppendUint32(w, b.run)
	w = binary.LittleEndian.AppendUint64(w, b.version)
	w = binary.LittleEndian.AppendUint16(w, milliseconds(b.interval))
	w = binary.LittleEndian.AppendUint16(w, milliseconds(b.confirmedAge))
	w = binary.LittleEndian.AppendUint16(w, uint16(min(b.meanOpenRequests*compactOpenRequestsScale, math.MaxUint16)))
	w = binary.LittleEndian.AppendUint16(w, uint16(min(b.flows, math.MaxUint16)))
	w = binary.LittleEndian.AppendUint32(w, b.incarnation)
	w = binary.LittleEndian.AppendUint32(w, b.peer.IP())
	w = binary.LittleEndian.AppendUint16(w, b.peer.Port())
	if b.hasLoad {
		w = appendLoad(w, b.pending, b.serviceTime)
	} else {
		w = append(w, 0)
	}
	if b.hasEra {
		w = binary.LittleEndian.AppendUint16(w, b.era)
		w = binary.LittleEndian.AppendUint16(w, b.held)
	}
	return w
}

// parseCompactHeartbeat parses a compact heartbeat. The error has kind Malformed.
func parseCompactHeartbeat(w []byte) (compactHeartbeat, error) {
	hasEra := len(w) == compactHeartbeatSize+compactEraSize || len(w) == longCompactHeartbeatSize+compactEraSize
	size := len(w)
	if hasEra {
		size -= compactEraSize
	}
	if (size != compactHeartbeatSize && size != longCompactHeartbeatSize) || w[1] != heartbeatVersion {
		return compactHeartbeat{}, errkind.New(errkind.Malformed, "compact heartbeat has %d bytes or an unsupported protocol version", len(w))
	}
	b := compactHeartbeat{
		state:              steer.State(w[2]),
		receivesHeartbeats: w[3]&receivesHeartbeatsFlag != 0,
		wantsReply:         w[3]&wantsReplyFlag != 0,
		acceptsLoad:        w[3]&acceptsLoadFlag != 0,
		acceptsEra:         w[3]&acceptsEraFlag != 0,
		hasLoad:            size == longCompactHeartbeatSize,
		hasEra:             hasEra,
		run:                binary.LittleEndian.Uint32(w[4:]),
		version:            binary.LittleEndian.Uint64(w[8:]),
		interval:           time.Duration(binary.LittleEndian.Uint16(w[16:])) * time.Millisecond,
		confirmedAge:       time.Duration(binary.LittleEndian.Uint16(w[18:])) * time.Millisecond,
		meanOpenRequests:   float64(binary.LittleEndian.Uint16(w[20:])) / compactOpenRequestsScale,
		flows:              int(binary.LittleEndian.Uint16(w[22:])),
		incarnation:        binary.LittleEndian.Uint32(w[24:]),
		peer:               passthrough.MakeEndpoint(binary.LittleEndian.Uint32(w[28:]), binary.LittleEndian.Uint16(w[32:])),
	}
	if b.hasLoad {
		b.pending, b.serviceTime = parseLoad(w[compactHeartbeatSize-1:])
	}
	if hasEra {
		b.era, b.held = binary.LittleEndian.Uint16(w[size:]), binary.LittleEndian.Uint16(w[size+2:])
	}
	if b.peer == 0 || b.interval <= 0 {
		return compactHeartbeat{}, errkind.New(errkind.Malformed, "compact heartbeat without address or interval")
	}
	return b, nil
}

// HandleCompactHeartbeat handles a datagram of kind CompactHeartbeat. If the
// sender's run is not known, the heartbeats sent to it report that its heartbeats do
// not arrive, so that it sends full ones.
func (r *Roster) HandleCompactHeartbeat(datagram []byte, now time.Duration) {
	b, err := parseCompactHeartbeat(datagram)
	if err != nil {
		r.malformed++
		return
	}
	p := r.peers[b.peer]
	if p == nil || !p.known {
		r.Add(b.peer, 0)
		return
	}
	if uint32(p.member.Run) != b.run {
		p.lastHeartbeatAt, p.receivesHeartbeats = min(p.lastHeartbeatAt, now-p.reachableTimeout()), false
		return
	}
	h := heartbeat{Member: p.member, interval: b.interval, receivesHeartbeats: b.receivesHeartbeats, wantsReply: b.wantsReply, acceptsLoad: b.acceptsLoad, acceptsEra: b.acceptsEra}
	h.Version, h.Held, h.ConfirmedAge = routes.Revision{Index: b.version}, b.held, b.confirmedAge
	if b.hasEra {
		h.Version.Era = routes.NearestEra(b.era, p.member.Version.Era)
	}
	h.Report.State, h.Report.MeanOpenRequests, h.Report.Flows, h.Report.Incarnation = b.state, b.meanOpenRequests, b.flows, b.incarnation
	h.Report.HasLoad, h.Report.Pending, h.Report.ServiceTime = b.hasLoad, b.pending, b.serviceTime
	r.applyHeartbeat(p, &h, now)
}
