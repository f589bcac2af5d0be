package fabric

import (
	"net/netip"
	"sort"
	"sync"
	"time"
)

// maxTrafficAddresses limits the number of UDP addresses with counters.
const maxTrafficAddresses = 1 << 16

// Traffic counts the packets of one UDP address.
type Traffic struct {
	Address netip.AddrPort `json:"address"`
	// Domain is the failure domain of the address, if the topology names it.
	Domain string `json:"domain"`
	// From and To are the numbers of packets from and to the address.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// LastFrom and LastTo are the times of the last of these packets.
	LastFrom time.Time `json:"last_from"`
	LastTo   time.Time `json:"last_to"`
}

// traffic counts packets by UDP address.
type traffic struct {
	mu        sync.Mutex
	addresses map[netip.AddrPort]*Traffic
}

func newTraffic() *traffic {
	return &traffic{addresses: make(map[netip.AddrPort]*Traffic)}
}

// entry returns the counters of an address, or those of the zero address if there
// are too many addresses. The calling function holds mu.
func (t *traffic) entry(address netip.AddrPort) *Traffic {
	if e, ok := t.addresses[address]; ok {
		return e
	}
	if len(t.addresses) >= maxTrafficAddresses {
		address = netip.AddrPort{}
	}
	e := &Traffic{Address: address}
	t.addresses[address] = e
	return e
}

// count counts a forwarded packet. The calling function holds mu.
func (t *traffic) count(from, to netip.AddrPort, now time.Time) {
	sender := t.entry(from)
	sender.From++
	sender.LastFrom = now
	receiver := t.entry(to)
	receiver.To++
	receiver.LastTo = now
}

// snapshot returns the counters sorted by address.
func (t *traffic) snapshot(n *network) []Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make([]Traffic, 0, len(t.addresses))
	for _, e := range t.addresses {
		entry := *e
		entry.Domain = n.domain(entry.Address)
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Address.Compare(entries[j].Address) < 0 })
	return entries
}
