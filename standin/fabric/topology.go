package fabric

import (
	"bytes"
	"net/netip"
	"os"

	"github.com/pelletier/go-toml/v2"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
)

// Topology says where senders are and how the network between failure domains
// behaves. It is read from a TOML file and replaced by PUT /fault. Its zero value
// is a network without delay or faults.
type Topology struct {
	// Members names the failure domain of UDP addresses.
	Members []Member `toml:"member" json:"members"`
	// Default is the link between domains that Links does not name.
	Default Link `toml:"default" json:"default"`
	// Links holds the links that differ from Default, one per direction.
	Links []Link `toml:"link" json:"links"`
	// Blocked holds the address pairs between which nothing passes.
	Blocked []Pair `toml:"blocked" json:"blocked"`
}

// Member names the failure domain of one sender or of a network of senders.
type Member struct {
	// Address is an IP:PORT of one sender. It goes before Network.
	Address netip.AddrPort `toml:"address" json:"address"`
	// Network is a prefix of IP addresses. The first that matches counts.
	Network netip.Prefix `toml:"network" json:"network"`
	Domain  string       `toml:"domain" json:"domain"`
}

// Link is the behaviour of the network from one failure domain to another.
type Link struct {
	From string `toml:"from" json:"from"`
	To   string `toml:"to" json:"to"`
	// Both makes the link hold in the other direction too.
	Both bool `toml:"both" json:"both"`
	// Delay is the one-way delay.
	Delay fault.Duration `toml:"delay" json:"delay"`
	// Variation is the largest addition to Delay. It does not change the order
	// of packets between two addresses.
	Variation fault.Duration `toml:"variation" json:"variation"`
	// Loss, Duplicate and Reorder are shares of packets from 0 to 1.
	Loss      float64 `toml:"loss" json:"loss"`
	Duplicate float64 `toml:"duplicate" json:"duplicate"`
	Reorder   float64 `toml:"reorder" json:"reorder"`
	// ReorderDelay is the additional delay of packets that others overtake.
	ReorderDelay fault.Duration `toml:"reorder_delay" json:"reorder_delay"`
	// Cut drops every packet.
	Cut bool `toml:"cut" json:"cut"`
}

// Pair is a sender and a receiver.
type Pair struct {
	From netip.AddrPort `toml:"from" json:"from"`
	To   netip.AddrPort `toml:"to" json:"to"`
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

// domains is an ordered pair of failure domains.
type domains struct {
	from, to string
}

// network is a topology prepared for look-ups. It is immutable.
type network struct {
	byAddress map[netip.AddrPort]string
	byNetwork []Member
	links     map[domains]*Link
	fallback  *Link
	blocked   map[Pair]bool
	// plain tells that every packet passes at once.
	plain bool
}

func newNetwork(t Topology) *network {
	n := &network{
		byAddress: make(map[netip.AddrPort]string),
		links:     make(map[domains]*Link),
		fallback:  &t.Default,
		blocked:   make(map[Pair]bool),
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
	n.plain = len(t.Links) == 0 && len(t.Blocked) == 0 && t.Default == Link{}
	return n
}

func (n *network) addLink(link *Link) {
	n.links[domains{link.From, link.To}] = link
	if link.Both {
		n.links[domains{link.To, link.From}] = link
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

func (n *network) link(pair Pair) *Link {
	key := domains{n.domain(pair.From), n.domain(pair.To)}
	if link, ok := n.links[key]; ok {
		return link
	}
	return n.fallback
}
