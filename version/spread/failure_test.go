package spread_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/event"
	"bergamotbank/version/config"
	"bergamotbank/version/publish"
	"bergamotbank/version/spread"
	"bergamotbank/version/store"
	"bergamotbank/version/store/storetest"
)

func TestStoreDownRightAfterAcceptance(t *testing.T) {
	convey.Convey("A version handed to one process reaches all though the store is down", t, func() {
		f := newFleet(t)
		f.startMany(3, 3)
		f.publishText(0)
		eventually(t, "version 1 in force", f.inForce(1))
		f.store.SetFaults(storetest.Faults{StallWatches: true})
		result := f.publishText(1)
		f.store.SetFaults(storetest.Faults{Down: true, StallWatches: true})
		err := spread.NewOperatorClient().Offer(t.Context(), f.all()[0].peer.Control, *result.Published, result.NewTexts)
		convey.So(err, convey.ShouldBeNil)
		eventually(t, "version 2 in force", f.inForce(2))
	})
}

func TestSilentConnectionsBetweenPeers(t *testing.T) {
	convey.Convey("A version spreads though all open connections went silent for good", t, func() {
		f := newFleet(t)
		f.startMany(1, 3)
		f.publishText(0)
		eventually(t, "version 1 in force", f.inForce(1))
		f.store.SetFaults(storetest.Faults{StallWatches: true})
		result := f.publishText(1)
		f.store.SetFaults(storetest.Faults{Down: true, StallWatches: true})
		f.network.silenced.Add(1)
		err := spread.NewOperatorClient().Offer(t.Context(), f.all()[0].peer.Control, *result.Published, result.NewTexts)
		convey.So(err, convey.ShouldBeNil)
		eventually(t, "version 2 in force", f.inForce(2))
	})
}

func TestProcessThatJoinsDuringAnOutage(t *testing.T) {
	convey.Convey("A process that starts while the store is down learns from its peers", t, func() {
		f := newFleet(t)
		f.startMany(1, 3)
		f.publishText(0)
		eventually(t, "version 1 in force", f.inForce(1))
		f.store.SetFaults(storetest.Faults{Down: true})
		late := f.start("late", "domain-9", false, f.peers)
		eventually(t, "late process ready", late.spreader.Ready)
		convey.So(late.versions(), convey.ShouldResemble, []uint64{1})
	})
	convey.Convey("Nobody is ready when neither store nor peers know a version", t, func() {
		f := newFleet(t)
		f.store.SetFaults(storetest.Faults{Down: true})
		f.startMany(1, 2)
		eventually(t, "store found down", func() bool { return f.all()[0].sawEvent(event.StoreUnreachable) })
		convey.So(f.all()[0].spreader.Ready(), convey.ShouldBeFalse)
	})
}

// slow returns a peer that answers for another one after a delay.
func slow(t *testing.T, p spread.Peer, delay time.Duration) spread.Peer {
	host := p.Control.String()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		passOn(w, r, host)
	}))
	t.Cleanup(server.Close)
	p.Control = netip.MustParseAddrPort(server.Listener.Addr().String())
	return p
}

// passOn makes the same request to host and copies the answer.
func passOn(w http.ResponseWriter, r *http.Request, host string) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+host+r.URL.Path, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

func TestStaleReadAfterRestart(t *testing.T) {
	convey.Convey("A restarted process begins with the highest version of its peers", t, func() {
		f := newFleet(t)
		first := f.publishText(0)
		second := f.publishText(1)
		f.store.SetFaults(storetest.Faults{Down: true})
		nobody := func() []spread.Peer { return nil }
		stale := f.start("stale", "domain-0", false, nobody)
		fresh := f.start("fresh", "domain-0", false, nobody)
		operator := spread.NewOperatorClient()
		convey.So(operator.Offer(t.Context(), stale.peer.Control, *first.Published, first.Published.Texts), convey.ShouldBeNil)
		convey.So(operator.Offer(t.Context(), fresh.peer.Control, *second.Published, second.Published.Texts), convey.ShouldBeNil)
		eventually(t, "stale one in force", func() bool { return stale.spreader.ActiveVersion() == 1 })
		eventually(t, "fresh one in force", func() bool { return fresh.spreader.ActiveVersion() == 2 })

		late := slow(t, fresh.peer, 300*time.Millisecond)
		restarted := f.start("restarted", "domain-0", false, func() []spread.Peer { return []spread.Peer{stale.peer, late} })
		eventually(t, "restarted one ready", restarted.spreader.Ready)
		convey.So(restarted.versions(), convey.ShouldResemble, []uint64{2})
		eventually(t, "stale one caught up", func() bool { return stale.spreader.ActiveVersion() == 2 })
	})
}

func TestNeverBack(t *testing.T) {
	convey.Convey("An older root in the store changes nothing and is reported", t, func() {
		f := newFleet(t)
		f.startMany(1, 3)
		f.publishText(0)
		older := f.store.Value(publish.RootKey)
		f.publishText(1)
		eventually(t, "version 2 in force", f.inForce(2))
		f.store.Put(publish.RootKey, older)
		eventually(t, "rejection reported", func() bool {
			return slices.ContainsFunc(f.all(), func(p *process) bool { return p.sawEvent(event.VersionRejected) })
		})
		convey.So(f.inForce(2)(), convey.ShouldBeTrue)
	})
}

func TestBrokenTextInTheStore(t *testing.T) {
	breakages := []struct {
		name string
		root string
	}{
		{"a root that is not JSON", "[[service]]"},
		{"a root with a text that does not match its hash", `{"format":1,"version":9,"operation":"x","sections":[` +
			`{"name":"domains","hash":"00112233445566778899aabbccddeeff","writer":"foreign"}]}`},
	}
	for _, b := range breakages {
		convey.Convey("The last good version stays in force with "+b.name, t, func() {
			f := newFleet(t)
			f.startMany(1, 3)
			f.publishText(0)
			eventually(t, "version 1 in force", f.inForce(1))
			f.store.Put("config/section/00112233445566778899aabbccddeeff-foreign", config.Render(text(t, 3)))
			f.store.Put(publish.RootKey, []byte(b.root))
			eventually(t, "rejection reported", func() bool {
				return slices.ContainsFunc(f.all(), func(p *process) bool { return p.sawEvent(event.VersionRejected) })
			})
			convey.So(f.inForce(1)(), convey.ShouldBeTrue)

			client := store.NewClient(store.Options{Address: f.store.Address()})
			defer client.Close()
			result, err := publish.New(client).Publish(t.Context(), publish.Request{Config: text(t, 2), Floor: 1, Repair: true})
			convey.So(err, convey.ShouldBeNil)
			eventually(t, "repaired version in force", f.inForce(result.Version))
		})
	}
}

func TestDomainOutInOut(t *testing.T) {
	convey.Convey("Out, in, out in quick order ends out everywhere, in order", t, func() {
		f := newFleet(t)
		f.startMany(2, 3)
		f.publishText(0)
		eventually(t, "version 1 in force", f.inForce(1))
		for n := 1; n <= 3; n++ {
			f.publishText(n)
		}
		eventually(t, "version 4 in force", f.inForce(4))
		for _, p := range f.all() {
			convey.So(p.spreader.Current().Config.DomainOut("domain-0"), convey.ShouldBeTrue)
			convey.So(slices.IsSorted(p.versions()), convey.ShouldBeTrue)
		}
	})
}

func TestWatcherTakeover(t *testing.T) {
	convey.Convey("Others watch the store when the watchers are gone", t, func() {
		f := newFleet(t)
		f.startMany(1, 4)
		f.publishText(0)
		eventually(t, "version 1 in force", f.inForce(1))
		for n := 1; n <= 2; n++ {
			f.remove(f.watchers()[0])
			f.publishText(n)
			eventually(t, "next version in force", f.inForce(uint64(n)+1))
		}
	})
}

func TestWholeFleetRestartedAtOnce(t *testing.T) {
	convey.Convey("A restart of all processes costs the store a few calls per failure domain", t, func() {
		const domains, each = 4, 16
		f := newFleet(t)
		f.publishText(0)
		before := f.store.Calls()
		f.startTogether(domains, each, 300*time.Millisecond)
		eventually(t, "version 1 in force", f.inForce(1))
		calls := f.store.Calls() - before
		convey.So(calls, convey.ShouldBeLessThan, 2*domains*each)
	})
}
