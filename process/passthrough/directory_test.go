package passthrough

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/process/roster"
)

// TestOddDirectoryEntries guards the view of a process against entries of another writer: each
// named an address from which no process ever answers, so that the view was incomplete and
// flows without a server were not reset.
func TestOddDirectoryEntries(t *testing.T) {
	own := passthrough.EndpointOf(netip.MustParseAddrPort("10.0.0.1:7720"))
	d := &directory{logger: zap.NewNop(), peer: own}
	good := Item{Key: directoryPrefix + agentsPrefix + "side-1", Value: []byte("10.0.0.2:7720"), Lease: 3}
	odd := map[string]func(i *Item){
		"nested deeply":                    func(i *Item) { i.Value = []byte(strings.Repeat("[", 100_000)) },
		"with a port out of range":         func(i *Item) { i.Value = []byte("10.0.0.3:77200") },
		"with a number that is too large":  func(i *Item) { i.Value = []byte("10.0.0.3:1e400") },
		"with another port":                func(i *Item) { i.Value = []byte("10.0.0.3:7721") },
		"without a port":                   func(i *Item) { i.Value = []byte("10.0.0.3") },
		"with an IPv6 address":             func(i *Item) { i.Value = []byte("[2001:db8::1]:7720") },
		"with an unspecified address":      func(i *Item) { i.Value = []byte("0.0.0.0:7720") },
		"with a multicast address":         func(i *Item) { i.Value = []byte("224.0.0.1:7720") },
		"with the broadcast address":       func(i *Item) { i.Value = []byte("255.255.255.255:7720") },
		"without a lease":                  func(i *Item) { i.Lease = 0 },
		"of no role":                       func(i *Item) { i.Key = directoryPrefix + "others/side-1" },
		"without a value":                  func(i *Item) { i.Value = nil },
		"with the address of this process": func(i *Item) { i.Value = []byte("10.0.0.1:7720") },
	}
	for name, change := range odd {
		convey.Convey("An entry "+name+" is left out, and the others hold", t, func() {
			other := good
			change(&other)
			convey.So(d.entries([]Item{other, good, other}), convey.ShouldResemble, []roster.Entry{{
				Peer: passthrough.EndpointOf(netip.MustParseAddrPort("10.0.0.2:7720")), Role: roster.Agent,
			}})
		})
	}
}
