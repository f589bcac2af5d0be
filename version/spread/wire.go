package spread

import (
	"net/netip"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/version/publish"
	"bergamotbank/version/spread/spreadpb"
)

// unknownAge is the age sent if there was no contact with the store.
const unknownAge = -1

func peerToWire(p Peer) *spreadpb.Peer {
	return &spreadpb.Peer{Name: p.Name, Domain: p.Domain, Control: p.Control.String()}
}

func peerFromWire(p *spreadpb.Peer) (Peer, error) {
	control, err := netip.ParseAddrPort(p.GetControl())
	if err != nil {
		return Peer{}, errkind.Wrap(err, errkind.Malformed, "control address of peer %q", p.GetName())
	}
	return Peer{Name: p.GetName(), Domain: p.GetDomain(), Control: control}, nil
}

func rootToWire(r publish.Root) *spreadpb.Root {
	wire := &spreadpb.Root{Version: r.Version, Operation: r.Operation}
	for _, s := range r.Sections {
		wire.Sections = append(wire.Sections, &spreadpb.SectionRef{Name: s.Name, Hash: s.Hash[:]})
	}
	return wire
}

func rootFromWire(wire *spreadpb.Root) (publish.Root, error) {
	root := publish.Root{Version: wire.GetVersion(), Operation: wire.GetOperation()}
	for _, s := range wire.GetSections() {
		hash, err := hashFromWire(s.GetHash())
		if err != nil {
			return publish.Root{}, err
		}
		root.Sections = append(root.Sections, publish.SectionRef{Name: s.GetName(), Hash: hash})
	}
	return root, nil
}

func hashFromWire(wire []byte) (publish.Hash, error) {
	var hash publish.Hash
	if len(wire) != len(hash) {
		return hash, errkind.New(errkind.Malformed, "hash has %d bytes, want %d", len(wire), len(hash))
	}
	copy(hash[:], wire)
	return hash, nil
}

// ageMillis returns the age of a contact in milliseconds, or unknownAge if there
// was none.
func ageMillis(contact, now time.Time) int64 {
	if contact.IsZero() {
		return unknownAge
	}
	return max(0, now.Sub(contact).Milliseconds())
}

func contactTime(age int64, now time.Time) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}
