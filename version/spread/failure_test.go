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
	convey.Convey("A version offered to one process reaches all while the store is down", t, func() {
		f := newFleet(t)
		f.startMany(3, 3)
		f.publishTestConfig(0)
		eventually(t, "version 1 active", f.allActive(1))
		f.store.SetFaults(storetest.Faults{StallWatches: true})
		result := f.publishTestConfig(1)
		f.store.SetFaults(storetest.Faults{Down: true, StallWatches: true})
		err := spread.NewOperatorClient().Offer(t.Context(), f.all()[0].peer.Control, *result.Published, result.NewTexts)
		convey.So(err, convey.ShouldBeNil)
		eventually(t, "version 2 active", f.allActive(2))
	})
}

func TestBlackholedConnectionsBetweenPeers(t *testing.T) {
	convey.Convey("A version reaches all processes after all open connections were blackholed", t, func() {
		f := newFleet(t)
		f.startMany(1, 3)
		f.publishTestConfig(0)
		eventually(t, "version 1 active", f.allActive(1))
		f.store.SetFaults(storetest.Faults{StallWatches: true})
		result := f.publishTestConfig(1)
		f.store.SetFaults(storetest.Faults{Down: true, StallWatches: true})
		f.network.blackholes.Add(1)
		err := spread.NewOperatorClient().Offer(t.Context(), f.all()[0].peer.Control, *result.Published, result.NewTexts)
		convey.So(err, convey.ShouldBeNil)
		eventually(t, "version 2 active", f.allActive(2))
	})
}

func TestProcessThatJoinsDuringAnOutage(t *testing.T) {
	convey.Convey("A process that starts while the store is down learns from its peers", t, func() {
		f := newFleet(t)
		f.startMany(1, 3)
		f.publishTestConfig(0)
		eventually(t, "version 1 active", f.allActive(1))
		f.store.SetFaults(storetest.Faults{Down: true})
		late := f.start("late", "domain-9", false, f.peers)
		eventually(t, "late process ready", late.spreader.Ready)
		convey.So(late.versions(), convey.ShouldResemble, []uint64{1})
	})
	convey.Convey("No process is ready if neither the store nor any peer has a version", t, func() {
		f := newFleet(t)
		f.store.SetFaults(storetest.Faults{Down: true})
		f.startMany(1, 2)
		eventually(t, "store reported unreachable", func() bool { return f.all()[0].sawEvent(event.StoreUnreachable) })
		convey.So(f.all()[0].spreader.Ready(), convey.ShouldBeFalse)
	})
}

// delayedPeer returns a proxy of a peer that delays each request.
func delayedPeer(t *testing.T, p spread.Peer, delay time.Duration) spread.Peer {
	host := p.Control.String()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		proxyRequest(w, r, host)
	}))
	t.Cleanup(server.Close)
	p.Control = netip.MustParseAddrPort(server.Listener.Addr().String())
	return p
}

// proxyRequest sends the request to host and copies the response.
func proxyRequest(w http.ResponseWriter, r *http.Request, host string) {
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
	convey.Convey("The first active version of a restarted process is the highest of its peers", t, func() {
		f := newFleet(t)
		first := f.publishTestConfig(0)
		second := f.publishTestConfig(1)
		f.store.SetFaults(storetest.Faults{Down: true})
		noPeers := func() []spread.Peer { return nil }
		stale := f.start("stale", "domain-0", false, noPeers)
		fresh := f.start("fresh", "domain-0", false, noPeers)
		operator := spread.NewOperatorClient()
		convey.So(operator.Offer(t.Context(), stale.peer.Control, *first.Published, first.Published.Texts), convey.ShouldBeNil)
		convey.So(operator.Offer(t.Context(), fresh.peer.Control, *second.Published, second.Published.Texts), convey.ShouldBeNil)
		eventually(t, "old version active at the stale process", func() bool { return stale.spreader.ActiveVersion() == 1 })
		eventually(t, "new version active at the fresh process", func() bool { return fresh.spreader.ActiveVersion() == 2 })

		late := delayedPeer(t, fresh.peer, 300*time.Millisecond)
		restarted := f.start("restarted", "domain-0", false, func() []spread.Peer { return []spread.Peer{stale.peer, late} })
		eventually(t, "restarted process ready", restarted.spreader.Ready)
		convey.So(restarted.versions(), convey.ShouldResemble, []uint64{2})
		eventually(t, "stale process caught up", func() bool { return stale.spreader.ActiveVersion() == 2 })
	})
}

func TestNoVersionRollback(t *testing.T) {
	convey.Convey("An older root in the store is reported and not applied", t, func() {
		f := newFleet(t)
		f.startMany(1, 3)
		f.publishTestConfig(0)
		older := f.store.Value(publish.RootKey)
		f.publishTestConfig(1)
		eventually(t, "version 2 active", f.allActive(2))
		f.store.Put(publish.RootKey, older)
		eventually(t, "rejection reported", func() bool {
			return slices.ContainsFunc(f.all(), func(p *process) bool { return p.sawEvent(event.VersionRejected) })
		})
		convey.So(f.allActive(2)(), convey.ShouldBeTrue)
	})
}

func TestInvalidVersionInTheStore(t *testing.T) {
	cases := []struct {
		name string
		root string
	}{
		{"a root that is not JSON", "[[service]]"},
		{"a root with a text that does not match its hash", `{"format":1,"version":9,"operation":"x","sections":[` +
			`{"name":"domains","hash":"00112233445566778899aabbccddeeff","writer":"foreign"}]}`},
	}
	for _, c := range cases {
		convey.Convey("The last valid version stays active with "+c.name, t, func() {
			f := newFleet(t)
			f.startMany(1, 3)
			f.publishTestConfig(0)
			eventually(t, "version 1 active", f.allActive(1))
			f.store.Put("config/section/00112233445566778899aabbccddeeff-foreign", config.Render(testConfig(t, 3)))
			f.store.Put(publish.RootKey, []byte(c.root))
			eventually(t, "rejection reported", func() bool {
				return slices.ContainsFunc(f.all(), func(p *process) bool { return p.sawEvent(event.VersionRejected) })
			})
			convey.So(f.allActive(1)(), convey.ShouldBeTrue)

			client := store.NewClient(store.Options{Address: f.store.Address()})
			defer client.Close()
			result, err := publish.New(client).Publish(t.Context(), publish.Request{Config: testConfig(t, 2), Floor: 1, Repair: true})
			convey.So(err, convey.ShouldBeNil)
			eventually(t, "repaired version active", f.allActive(result.Version))
		})
	}
}

func TestDomainOutInOut(t *testing.T) {
	convey.Convey("After out, in, out in quick succession, the failure domain is out everywhere and versions were applied in order", t, func() {
		f := newFleet(t)
		f.startMany(2, 3)
		f.publishTestConfig(0)
		eventually(t, "version 1 active", f.allActive(1))
		for n := 1; n <= 3; n++ {
			f.publishTestConfig(n)
		}
		eventually(t, "version 4 active", f.allActive(4))
		for _, p := range f.all() {
			convey.So(p.spreader.Current().Config.DomainOut("domain-0"), convey.ShouldBeTrue)
			convey.So(slices.IsSorted(p.versions()), convey.ShouldBeTrue)
		}
	})
}

func TestWatcherTakeover(t *testing.T) {
	convey.Convey("Other processes watch the store after the watchers have stopped", t, func() {
		f := newFleet(t)
		f.startMany(1, 4)
		f.publishTestConfig(0)
		eventually(t, "version 1 active", f.allActive(1))
		for n := 1; n <= 2; n++ {
			f.remove(f.watchers()[0])
			f.publishTestConfig(n)
			eventually(t, "next version active", f.allActive(uint64(n)+1))
		}
	})
}

func TestSimultaneousRestart(t *testing.T) {
	convey.Convey("A restart of all processes causes fewer than two store calls per process", t, func() {
		const domains, each = 4, 16
		f := newFleet(t)
		f.publishTestConfig(0)
		before := f.store.Calls()
		f.startWithDelayedPeers(domains, each, 300*time.Millisecond)
		eventually(t, "version 1 active", f.allActive(1))
		calls := f.store.Calls() - before
		convey.So(calls, convey.ShouldBeLessThan, 2*domains*each)
	})
}
