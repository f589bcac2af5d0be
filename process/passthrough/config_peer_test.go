package passthrough

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/process/roster"
	"bergamotbank/version/routes"
)

// versionServer serves the configuration of a process and counts the requests.
type versionServer struct {
	*configSync
	requests atomic.Int64
}

func newVersionServer(t *testing.T, value string) *versionServer {
	store := newFakeStore()
	store.write("config", value)
	c, _ := newTestConfigSync(store)
	if err := c.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	return &versionServer{configSync: c}
}

func (s *versionServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	s.configSync.ServeHTTP(w, r)
}

// versionPeers are the processes that respond to requests for the configuration. Requests
// use no network: time in a synctest bubble does not pass while a goroutine waits for it.
type versionPeers map[string]*versionServer

// add adds a server and returns it as a member of a failure domain.
func (p versionPeers) add(s *versionServer, domain string) roster.Member {
	m := roster.Member{Domain: domain, Version: s.revision(), Peer: passthrough.MakeEndpoint(uint32(len(p)+1), 1)}
	p[m.Peer.String()] = s
	return m
}

func (p versionPeers) RoundTrip(r *http.Request) (*http.Response, error) {
	s, ok := p[r.URL.Host]
	if !ok {
		return nil, errkind.New(errkind.PeerUnavailable, "%s does not respond", r.URL.Host)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w.Result(), nil
}

// runFetch runs fetchNewer for a second.
func runFetch(t *testing.T, c *configSync) {
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	if err := c.fetchNewer(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestVersionSource guards against versions that cross failure domains once for each
// process: whichever process announced a version first used to serve it.
func TestVersionSource(t *testing.T) { synctest.Test(t, testVersionSource) }

func testVersionSource(t *testing.T) {
	convey.Convey("Given a version that processes of two failure domains announce, another domain first", t, func() {
		near, far := newVersionServer(t, "v1"), newVersionServer(t, "v1")
		peers := versionPeers{}
		c, versions := newTestConfigSync(nil)
		c.client.Transport = peers
		c.state.Revision = routes.Revision{Index: 1}
		c.announced.add(peers.add(far, "pasco"))

		convey.Convey("it is fetched from the own domain", func() {
			go func() {
				time.Sleep(fetchDelay + otherDomainDelay/2)
				c.announced.add(peers.add(near, "junin"))
			}()
			runFetch(t, c)
			convey.So(c.revision(), convey.ShouldEqual, near.revision())
			convey.So(near.requests.Load(), convey.ShouldEqual, 1)
			convey.So(far.requests.Load(), convey.ShouldEqual, 0)
		})
		convey.Convey("it is fetched from the other domain if no process of the own domain has it", func() {
			runFetch(t, c)
			convey.So(c.revision(), convey.ShouldEqual, far.revision())
			convey.So(*versions, convey.ShouldHaveLength, 1)
		})
		convey.Convey("it is fetched from the other domain if the process of the own domain does not respond", func() {
			m := peers.add(near, "junin")
			c.announced.add(m)
			delete(peers, m.Peer.String())
			runFetch(t, c)
			convey.So(c.revision(), convey.ShouldEqual, far.revision())
		})
	})
	convey.Convey("A series of versions is fetched once, as the newest", t, func() {
		near := newVersionServer(t, "v1")
		peers := versionPeers{}
		c, versions := newTestConfigSync(nil)
		c.client.Transport = peers
		c.state.Revision = routes.Revision{Index: 1}
		newest := peers.add(near, "junin")
		for i := range 5 {
			m := newest
			m.Version.Index -= uint64(4 - i)
			c.announced.add(m)
		}
		runFetch(t, c)
		convey.So(*versions, convey.ShouldHaveLength, 1)
		convey.So(near.requests.Load(), convey.ShouldEqual, 1)
	})
	convey.Convey("A peer that announces a version it does not have is asked once", t, func() {
		near := newVersionServer(t, "v1")
		peers := versionPeers{}
		c, _ := newTestConfigSync(nil)
		c.client.Transport = peers
		c.state.Revision = near.revision()
		m := peers.add(near, "junin")
		m.Version.Index++
		c.announced.add(m)
		runFetch(t, c)
		convey.So(near.requests.Load(), convey.ShouldEqual, 1)
	})
	convey.Convey("Only a bounded number of announcements is kept", t, func() {
		a := newAnnouncements("junin")
		for i := range 100 {
			a.add(roster.Member{Domain: []string{"junin", "pasco"}[i%2], Version: routes.Revision{Index: 7}, Peer: passthrough.MakeEndpoint(uint32(i), 1)})
		}
		convey.So(len(a.ownDomain), convey.ShouldEqual, maxAnnouncements)
		convey.So(len(a.otherDomains), convey.ShouldEqual, maxAnnouncements)
	})
}

// largeConfig returns a configuration of 1,400 routes.
func largeConfig() string {
	var b strings.Builder
	for i := range 1400 {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"198.18.%d.%d","prefix":"/8443/","kind":"safe","timeoutMs":1500,"targetLatencyMs":250,"priority":2,"service":"huvo11a","maxAttempts":2},`,
			uint32(i)*2654435761>>4, i/250, i%250)
	}
	return b.String()
}

// TestVersionServedToFleet guards against a process that runs out of memory, or a link
// that fills up, while all others fetch a large version from it at the same time.
func TestVersionServedToFleet(t *testing.T) {
	const (
		peers          = 194
		maxPeakBytes   = 24 << 20
		maxBytesOfPeer = 40 << 10
	)
	convey.Convey("A version of 1,400 routes is served to a large fleet in bounded memory and compressed", t, func() {
		server := newVersionServer(t, largeConfig())
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range peers {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, ConfigPath, nil)
			r.Header.Set("Accept-Encoding", "gzip")
			w.Body = nil
			server.ServeHTTP(w, r)
		}
		runtime.ReadMemStats(&after)
		convey.So(after.TotalAlloc-before.TotalAlloc, convey.ShouldBeLessThan, maxPeakBytes)
		body, err := server.encoded.of(server.state)
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(body), convey.ShouldBeLessThan, maxBytesOfPeer)
	})
	convey.Convey("A process decompresses it", t, func() {
		server := newVersionServer(t, largeConfig())
		listening := httptest.NewServer(server)
		defer listening.Close()
		c, _ := newTestConfigSync(nil)
		state, err := c.fetch(t.Context(), endpointOf(listening))
		convey.So(err, convey.ShouldBeNil)
		convey.So(state, convey.ShouldResemble, server.state)
	})
	convey.Convey("The response follows the active version", t, func() {
		server := newVersionServer(t, "v1")
		first, err := server.encoded.of(server.state)
		convey.So(err, convey.ShouldBeNil)
		server.applyIfNewer(configState{Revision: routes.Revision{Index: server.revision().Index + 1}, Items: []Item{{Key: "config", Value: []byte("v2")}}}, "test")
		second, err := server.encoded.of(server.state)
		convey.So(err, convey.ShouldBeNil)
		convey.So(second, convey.ShouldNotResemble, first)
	})
	convey.Convey("A client that does not accept compression, or a process of an earlier build, gets plain JSON", t, func() {
		server := newVersionServer(t, "v1")
		w := httptest.NewRecorder()
		server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, ConfigPath, nil))
		var state configState
		convey.So(json.Unmarshal(w.Body.Bytes(), &state), convey.ShouldBeNil)
		convey.So(state, convey.ShouldResemble, server.state)
	})
}
