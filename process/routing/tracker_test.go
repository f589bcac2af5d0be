package routing_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"bergamotbank/process/membership"
	"bergamotbank/process/routing"
	"bergamotbank/version/config"
	"bergamotbank/version/steering"
)

// TestMain fixes the seed and the number of checks of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// randomView draws a small view, sorted by server name.
func randomView(t *rapid.T) membership.View {
	var view membership.View
	for i := range 8 {
		if !rapid.Bool().Draw(t, "present") {
			continue
		}
		view.Servers = append(view.Servers, membership.Record{
			Server:   fmt.Sprintf("server-%d", i),
			Service:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service"),
			Domain:   rapid.SampledFrom([]string{"in", "out"}).Draw(t, "domain"),
			Sequence: rapid.Uint64Range(0, 1).Draw(t, "sequence"),
			Packet:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 1),
			Weight:   rapid.Uint16Range(0, 2).Draw(t, "weight"),
		})
	}
	return view
}

// TestTrackerMatchesFullRecomputation applies a random sequence of views and
// configurations and compares the inputs after each with a full recomputation.
func TestTrackerMatchesFullRecomputation(t *testing.T) {
	configs := []*config.Config{
		{Domains: []config.Domain{{Name: "in"}, {Name: "out"}}},
		{Domains: []config.Domain{{Name: "in"}, {Name: "out", Out: true}}},
	}
	rapid.Check(t, func(t *rapid.T) {
		var tracker routing.Tracker
		for range 10 {
			view := randomView(t)
			c := rapid.SampledFrom(configs).Draw(t, "configuration")
			got := tracker.Update(view, c)
			want := routing.ServersByService(view, c)
			for _, service := range []string{"a", "b", "c"} {
				if !slices.Equal(got[service], want[service]) {
					t.Fatalf("service %s: got %v, want %v", service, got[service], want[service])
				}
			}
		}
	})
}

func TestTrackerReusesUnchangedInputs(t *testing.T) {
	convey.Convey("A change to one service keeps the slices of the others", t, func() {
		view := membership.View{Servers: []membership.Record{
			{Server: "a-1", Service: "a", Weight: 100},
			{Server: "b-1", Service: "b", Weight: 100},
		}}
		c := &config.Config{}
		var tracker routing.Tracker
		before := tracker.Update(view, c)["a"]
		changed := membership.View{Servers: slices.Clone(view.Servers)}
		changed.Servers[1].Weight = 50
		after := tracker.Update(changed, c)
		convey.So(sameSlice(before, after["a"]), convey.ShouldBeTrue)
		convey.So(after["b"][0].Weight, convey.ShouldEqual, 50)
	})
}

func sameSlice(a, b []steering.Server) bool {
	return len(a) == len(b) && &a[0] == &b[0]
}
