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

// Role is the role of a member.
type Role uint8

// The roles of members; 0 is an unknown role.
const (
	Balancer Role = 1
	Agent    Role = 2
)

// Report is the state of an agent's backend server.
type Report struct {
	// State is the readiness for new flows.
	State steer.State
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// MeanOpenRequests is the mean number of open requests.
	MeanOpenRequests float64
	// Flows is the number of open flows.
	Flows int
	// Incarnation identifies the run of the server.
	Incarnation uint32
	// HasLoad is true if the report contains Pending and ServiceTime, which members of
	// earlier builds do not send.
	HasLoad bool
	// Pending is the number of requests in progress, flows being opened and opening packets
	// that wait at the agent.
	Pending int
	// ServiceTime is the mean time that the server works on a request, 0 if it is not known.
	ServiceTime time.Duration
}

// Member is a process as it describes itself in its heartbeats.
type Member struct {
	// Name is the unique name of the process, Domain its failure domain.
	Name, Domain string
	// Service is the service of an agent's backend server.
	Service string
	// Role is the role of the process.
	Role Role
	// Peer is the address for datagrams and HTTP requests of other processes.
	Peer passthrough.Endpoint
	// Run identifies the run of the process. It is no order of runs: the time of day, of
	// which it is made, may jump back.
	Run uint64
	// Version is the revision of the active configuration.
	Version routes.Revision
	// Held is a digest of the entries of earlier eras that the store has lost and that are
	// part of the active configuration, 0 for none.
	Held uint16
	// ConfirmedAge is the time since the store was last seen to hold no newer version,
	// by this process or by one from which it received a heartbeat.
	ConfirmedAge time.Duration
	// Report is the state of an agent's backend server.
	Report Report
}

// heartbeat is a full heartbeat.
type heartbeat struct {
	Member
	// interval is the maximum time to the sender's next heartbeat.
	interval time.Duration
	// receivesHeartbeats is true if the sender has recently received a heartbeat of
	// the receiver.
	receivesHeartbeats bool
	// wantsIntroduction is true if the sender knows few members and requests an
	// introduction.
	wantsIntroduction bool
	// wantsReply is true if the sender requests an immediate heartbeat.
	wantsReply bool
	// acceptsLoad is true if the sender understands the long form of a compact heartbeat.
	acceptsLoad bool
	// acceptsEra is true if the sender understands compact heartbeats with an era.
	acceptsEra bool
}

// heartbeatVersion is the version of the wire format of heartbeats.
const heartbeatVersion = 1

const (
	receivesHeartbeatsFlag = 1
	wantsIntroductionFlag  = 2
	wantsReplyFlag         = 4
	acceptsLoadFlag        = 8
	// acceptsEraFlag also marks a full heartbeat that contains an era.
	acceptsEraFlag = 16
)

// fixedHeartbeatSize is the size of a full heartbeat without its strings, in bytes.
const fixedHeartbeatSize = 47

// stringFields is the number of strings in a full heartbeat; each is preceded by a
// byte with its length.
const stringFields = 3

// eraSize is the size of the era and the digest of held entries that end a full heartbeat.
// Earlier builds send neither and ignore them. compactEraSize is that of the lower bits of the
// era and the digest, which end a compact heartbeat.
const (
	eraSize        = 10
	compactEraSize = 4
)

// openRequestsScale is the factor by which a full heartbeat multiplies the mean
// number of open requests.
const openRequestsScale = 1000

// encode returns the wire format.
func (h *heartbeat) encode() []byte {
	flags := byte(0)
	if h.receivesHeartbeats {
		flags |= receivesHeartbeatsFlag
	}
	if h.wantsIntroduction {
		flags |= wantsIntroductionFlag
	}
	if h.wantsReply {
		flags |= wantsReplyFlag
	}
	if h.acceptsLoad {
		flags |= acceptsLoadFlag
	}
	if h.acceptsEra {
		flags |= acceptsEraFlag
	}
	b := make([]byte, 0, fixedHeartbeatSize+len(h.Name)+len(h.Domain)+len(h.Service)+stringFields+loadSize+eraSize)
	b = append(b, byte(passthrough.Hello), heartbeatVersion, byte(h.Role), byte(h.Report.State), flags)
	b = binary.LittleEndian.AppendUint64(b, h.Run)
	b = binary.LittleEndian.AppendUint64(b, h.Version.Index)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Peer))
	b = binary.LittleEndian.AppendUint16(b, milliseconds(h.interval))
	b = binary.LittleEndian.AppendUint16(b, uint16(min(h.Report.Slots, math.MaxUint16)))
	b = binary.LittleEndian.AppendUint32(b, uint32(h.Report.MeanOpenRequests*openRequestsScale))
	b = binary.LittleEndian.AppendUint32(b, uint32(h.Report.Flows))
	b = binary.LittleEndian.AppendUint32(b, h.Report.Incarnation)
	b = binary.LittleEndian.AppendUint16(b, milliseconds(h.ConfirmedAge))
	for _, value := range []string{h.Name, h.Domain, h.Service} {
		value = value[:min(len(value), math.MaxUint8)]
		b = append(append(b, byte(len(value))), value...)
	}
	if h.Report.HasLoad {
		b = appendLoad(b, h.Report.Pending, h.Report.ServiceTime)
	}
	if h.acceptsEra {
		b = binary.LittleEndian.AppendUint64(b, h.Version.Era)
		b = binary.LittleEndian.AppendUint16(b, h.Held)
	}
	return b
}

// milliseconds returns a duration as sent on the wire, limited to the range of the
// field.
func milliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}

// parseHeartbeat parses a full heartbeat. The error has kind Malformed.
func parseHeartbeat(b []byte) (heartbeat, error) {
	if len(b) < fixedHeartbeatSize || b[1] != heartbeatVersion {
		return heartbeat{}, errkind.New(errkind.Malformed, "heartbeat has %d bytes or an unsupported protocol version", len(b))
	}
	h := heartbeat{receivesHeartbeats: b[4]&receivesHeartbeatsFlag != 0, wantsIntroduction: b[4]&wantsIntroductionFlag != 0, wantsReply: b[4]&wantsReplyFlag != 0, acceptsLoad: b[4]&acceptsLoadFlag != 0, acceptsEra: b[4]&acceptsEraFlag != 0}
	h.Role = Role(b[2])
	h.Report.State = steer.State(b[3])
	h.Run = binary.LittleEndian.Uint64(b[5:])
	h.Version.Index = binary.LittleEndian.Uint64(b[13:])
	h.Peer = passthrough.Endpoint(binary.LittleEndian.Uint64(b[21:]))
	h.interval = time.Duration(binary.LittleEndian.Uint16(b[29:])) * time.Millisecond
	h.Report.Slots = int(binary.LittleEndian.Uint16(b[31:]))
	h.Report.MeanOpenRequests = float64(binary.LittleEndian.Uint32(b[33:])) / openRequestsScale
	h.Report.Flows = int(binary.LittleEndian.Uint32(b[37:]))
	h.Report.Incarnation = binary.LittleEndian.Uint32(b[41:])
	h.ConfirmedAge = time.Duration(binary.LittleEndian.Uint16(b[45:])) * time.Millisecond
	rest := b[fixedHeartbeatSize:]
	for _, value := range []*string{&h.Name, &h.Domain, &h.Service} {
		if len(rest) == 0 || len(rest) <= int(rest[0]) {
			return heartbeat{}, errkind.New(errkind.Malformed, "heartbeat is truncated inside a string")
		}
		*value = string(rest[1 : 1+rest[0]])
		rest = rest[1+rest[0]:]
	}
	if h.acceptsEra {
		if len(rest) < eraSize {
			return heartbeat{}, errkind.New(errkind.Malformed, "heartbeat is truncated inside the era")
		}
		era := rest[len(rest)-eraSize:]
		h.Version.Era, h.Held = binary.LittleEndian.Uint64(era), binary.LittleEndian.Uint16(era[8:])
		rest = rest[:len(rest)-eraSize]
	}
	if len(rest) >= loadSize {
		h.Report.HasLoad = true
		h.Report.Pending, h.Report.ServiceTime = parseLoad(rest)
	}
	if h.Peer == 0 || (h.Role != Balancer && h.Role != Agent) || h.interval <= 0 {
		return heartbeat{}, errkind.New(errkind.Malformed, "heartbeat without address, role or interval")
	}
	return h, nil
}

// introductionEntrySize is the size of one entry of an introduction, in bytes: six
// for the address, one for the role, one unused.
const introductionEntrySize = 8

// roleShift is the bit offset of the role in an entry.
const roleShift = 48

// maxIntroductionEntries is the maximum number of members in one introduction, so
// that its entries fit into 1,200 bytes.
const maxIntroductionEntries = 1200 / introductionEntrySize

// introductionEntry is a member listed in an introduction.
type introductionEntry struct {
	address passthrough.Endpoint
	role    Role
}

// encodeIntroduction returns the wire format of an introduction of at most
// maxIntroductionEntries members.
func encodeIntroduction(peers []introductionEntry) []byte {
	b := make([]byte, 0, 1+len(peers)*introductionEntrySize)
	b = append(b, byte(passthrough.Introduction))
	for _, peer := range peers {
		b = binary.LittleEndian.AppendUint64(b, uint64(peer.address)|uint64(peer.role)<<roleShift)
	}
	return b
}

// parseIntroduction parses an introduction. The error has kind Malformed.
func parseIntroduction(b []byte) ([]introductionEntry, error) {
	body := b[1:]
	if len(body)%introductionEntrySize != 0 {
		return nil, errkind.New(errkind.Malformed, "introduction has %d bytes, not a multiple of the entry size", len(b))
	}
	peers := make([]introductionEntry, 0, len(body)/introductionEntrySize)
	for ; len(body) > 0; body = body[introductionEntrySize:] {
		entry := binary.LittleEndian.Uint64(body)
		peers = append(peers, introductionEntry{passthrough.Endpoint(entry & (1<<roleShift - 1)), Role(entry >> roleShift)})
	}
	return peers, nil
}
