package fabric

import (
	"bytes"
	"net/netip"
	"os"

	"github.com/pelletier/go-toml/v2"

	"bergamotbank/errkind"
	"bergamotbank/standin/link"
)

// Topology maps senders to failure domains and describes the network between
// these. It is read from a TOML file and replaced by PUT /fault. Its zero value
// is a network without delay or faults.
type Topology struct {
	// Members maps UDP addresses to failure domains.
	Members []Member `toml:"member" json:"members"`
	// Default is the link between domains that Links does not name.
	Default link.Link `toml:"default" json:"default"`
	// Links holds the links that differ from Default, one per direction.
	Links []link.Link `toml:"link" json:"links"`
	// MirrorRate is the share of packets to services, from 0 to 1, that a second
	// balancer receives too.
	MirrorRate float64 `toml:"fork" json:"fork"`
	// Blocked holds the address pairs between which every packet is dropped.
	Blocked []link.Pair `toml:"blocked" json:"blocked"`
}

// Member maps one sender or a network of senders to a failure domain.
type Member struct {
	// Address is the IP:PORT of one sender. It takes precedence over Network.
	Address netip.AddrPort `toml:"address" json:"address"`
	// Network is a prefix of IP addresses. The first match applies.
	Network netip.Prefix `toml:"network" json:"network"`
	Domain  string       `toml:"domain" json:"domain"`
}

// ReadTopology reads a TOML file. Its errors have kind InvalidSettings.
func ReadTopology(path string) (Topology, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Topology{}, errkind.Wrap(err, errkind.InvalidSettings, "topology")
	}
	var topology Topology
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&topology)
	return topology, errkind.Wrap(err, errkind.InvalidSettings, "topology %s", path)
}

// domainPair is an ordered pair of failure domains.
type domainPair struct {
	from, to string
}

// network is a topology prepared for lookups. It is immutable.
type network struct {
	byAddress   map[netip.AddrPort]string
	byNetwork   []Member
	links       map[domainPair]*link.Link
	defaultLink *link.Link
	blocked     map[link.Pair]bool
	mirrorRate  float64
	// unimpaired is true if every packet is forwarded without delay or fault.
	unimpaired bool
}

func newNetwork(t Topology) *network {
	n := &network{
		byAddress:   make(map[netip.AddrPort]string),
		links:       make(map[domainPair]*link.Link),
		defaultLink: &t.Default,
		blocked:     make(map[link.Pair]bool),
		mirrorRate:  t.MirrorRate,
	}
	for _, member := range t.Members {
		if member.Address.IsValid() {
			n.byAddress[member.Address] = member.Domain
			continue
		}
		n.byNetwork = append(n.byNetwork, member)
	}
	for i := range t.Links {
		n.addLink(&t.Links[i])
	}
	for _, pair := range t.Blocked {
		n.blocked[pair] = true
	}
	n.unimpaired = len(t.Links) == 0 && len(t.Blocked) == 0 && t.MirrorRate == 0 && t.Default == link.Link{}
	return n
}

func (n *network) addLink(l *link.Link) {
	n.links[domainPair{l.From, l.To}] = l
	if l.Both {
		n.links[domainPair{l.To, l.From}] = l
	}
}

func (n *network) domain(address netip.AddrPort) string {
	if domain, ok := n.byAddress[address]; ok {
		return domain
	}
	for _, member := range n.byNetwork {
		if member.Network.Contains(address.Addr()) {
			return member.Domain
		}
	}
	return ""
}

func (n *network) link(pair link.Pair) *link.Link {
	key := domainPair{n.domain(pair.From), n.domain(pair.To)}
	if l, ok := n.links[key]; ok {
		return l
	}
	return n.defaultLink
}
