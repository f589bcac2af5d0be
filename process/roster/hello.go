package roster

import (
	"encoding/binary"
	"math"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
)

// Role tells as what a member runs.
type Role uint8

// The roles of members; 0 stands for a role that is not known.
const (
	Balancer Role = 1
	Agent    Role = 2
)

// Report is what an agent says of its backend server.
type Report struct {
	// State is the readiness for new flows.
	State steer.State
	// Slots is the number of requests that the server works on at once.
	Slots int
	// MeanOpenRequests is the mean number of open requests.
	MeanOpenRequests float64
	// Flows is the number of open flows.
	Flows int
	// Incarnation is the run of the server.
	Incarnation uint32
}

// Member is a process as it describes itself in its heartbeats.
type Member struct {
	// Name is the unique name, Domain the failure domain.
	Name, Domain string
	// Service is the service of an agent's backend server.
	Service string
	// Role tells what the process does.
	Role Role
	// Peer is the address for datagrams and calls.
	Peer passthrough.Endpoint
	// Run is the run of the process; a later run has a larger number.
	Run uint64
	// Version is the revision of the configuration in force.
	Version uint64
	// ConfirmedAge is how long ago the store was last read and had no newer version,
	// by this process or by one that it heard.
	ConfirmedAge time.Duration
	// Report is about an agent's backend server.
	Report Report
}

// hello is a heartbeat on the wire.
type hello struct {
	Member
	// interval is the time to the sender's next heartbeat.
	interval time.Duration
	// heard tells that the sender has lately heard the receiver.
	heard bool
	// lonely tells that the sender knows few members and asks for an introduction.
	lonely bool
	// asks tells that the sender wants a heartbeat at once.
	asks bool
}

// helloProtocol is the version of the heartbeat's layout.
const helloProtocol = 1

const (
	heardFlag  = 1
	lonelyFlag = 2
	asksFlag   = 4
)

// fixedHelloSize is the size of a heartbeat without its texts, in bytes.
const fixedHelloSize = 47

// texts is the number of texts in a heartbeat; each has a byte for its length.
const texts = 3

// milli is the unit of the mean number of open requests on the wire.
const milli = 1000

// encode returns the heartbeat on the wire.
func (h *hello) encode() []byte {
	flags := byte(0)
	if h.heard {
		flags |= heardFlag
	}
	if h.lonely {
		flags |= lonelyFlag
	}
	if h.asks {
		flags |= asksFlag
	}
	b := make([]byte, 0, fixedHelloSize+len(h.Name)+len(h.Domain)+len(h.Service)+texts)
	b = append(b, byte(passthrough.Hello), helloProtocol, byte(h.Role), byte(h.Report.State), flags)
	b = binary.LittleEndian.AppendUint64(b, h.Run)
	b = binary.LittleEndian.AppendUint64(b, h.Version)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Peer))
	b = binary.LittleEndian.AppendUint16(b, milliseconds(h.interval))
	b = binary.LittleEndian.AppendUint16(b, uint16(min(h.Report.Slots, math.MaxUint16)))
	b = binary.LittleEndian.AppendUint32(b, uint32(h.Report.MeanOpenRequests*milli))
	b = binary.LittleEndian.AppendUint32(b, uint32(h.Report.Flows))
	b = binary.LittleEndian.AppendUint32(b, h.Report.Incarnation)
	b = binary.LittleEndian.AppendUint16(b, milliseconds(h.ConfirmedAge))
	for _, text := range []string{h.Name, h.Domain, h.Service} {
		text = text[:min(len(text), math.MaxUint8)]
		b = append(append(b, byte(len(text))), text...)
	}
	return b
}

// milliseconds returns a duration for the wire; longer ones than it holds are cut.
func milliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}

// parseHello reads a heartbeat. The error has kind Malformed.
func parseHello(b []byte) (hello, error) {
	if len(b) < fixedHelloSize || b[1] != helloProtocol {
		return hello{}, errkind.New(errkind.Malformed, "heartbeat of %d bytes or of another protocol version", len(b))
	}
	h := hello{heard: b[4]&heardFlag != 0, lonely: b[4]&lonelyFlag != 0, asks: b[4]&asksFlag != 0}
	h.Role = Role(b[2])
	h.Report.State = steer.State(b[3])
	h.Run = binary.LittleEndian.Uint64(b[5:])
	h.Version = binary.LittleEndian.Uint64(b[13:])
	h.Peer = passthrough.Endpoint(binary.LittleEndian.Uint64(b[21:]))
	h.interval = time.Duration(binary.LittleEndian.Uint16(b[29:])) * time.Millisecond
	h.Report.Slots = int(binary.LittleEndian.Uint16(b[31:]))
	h.Report.MeanOpenRequests = float64(binary.LittleEndian.Uint32(b[33:])) / milli
	h.Report.Flows = int(binary.LittleEndian.Uint32(b[37:]))
	h.Report.Incarnation = binary.LittleEndian.Uint32(b[41:])
	h.ConfirmedAge = time.Duration(binary.LittleEndian.Uint16(b[45:])) * time.Millisecond
	rest := b[fixedHelloSize:]
	for _, text := range []*string{&h.Name, &h.Domain, &h.Service} {
		if len(rest) == 0 || len(rest) <= int(rest[0]) {
			return hello{}, errkind.New(errkind.Malformed, "heartbeat ends inside a text")
		}
		*text = string(rest[1 : 1+rest[0]])
		rest = rest[1+rest[0]:]
	}
	if h.Peer == 0 || (h.Role != Balancer && h.Role != Agent) || h.interval <= 0 {
		return hello{}, errkind.New(errkind.Malformed, "heartbeat without address, role or interval")
	}
	return h, nil
}

// introductionSize is the size of one entry of an introduction, in bytes: six of
// an address, one of a role, one unused.
const introductionSize = 8

// roleShift is the place of the role in an entry, in bits.
const roleShift = 48

// maxIntroduced is the number of members in one introduction, so that it fits
// into a packet of 1,200 bytes.
const maxIntroduced = 1200 / introductionSize

// introduced is a member that an introduction names.
type introduced struct {
	address passthrough.Endpoint
	role    Role
}

// encodeIntroduction returns a list of members on the wire.
func encodeIntroduction(peers []introduced) []byte {
	b := []byte{byte(passthrough.Introduction)}
	for _, peer := range peers[:min(len(peers), maxIntroduced)] {
		b = binary.LittleEndian.AppendUint64(b, uint64(peer.address)|uint64(peer.role)<<roleShift)
	}
	return b
}

// parseIntroduction reads a list of members. The error has kind Malformed.
func parseIntroduction(b []byte) ([]introduced, error) {
	body := b[1:]
	if len(body)%introductionSize != 0 {
		return nil, errkind.New(errkind.Malformed, "introduction of %d bytes", len(b))
	}
	peers := make([]introduced, 0, len(body)/introductionSize)
	for ; len(body) > 0; body = body[introductionSize:] {
		entry := binary.LittleEndian.Uint64(body)
		peers = append(peers, introduced{passthrough.Endpoint(entry & (1<<roleShift - 1)), Role(entry >> roleShift)})
	}
	return peers, nil
}
