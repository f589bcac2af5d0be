package admission

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const testTimeout = 5 * time.Second

// testGate is a gate in front of a fake backend server, served over loopback.
type testGate struct {
	t        *testing.T
	gate     *Gate
	frontend *httptest.Server
	client   *http.Client
}

func newTestGate(t *testing.T, backend netip.AddrPort, options Options) *testGate {
	t.Helper()
	options.Backend = backend
	if options.Server == "" {
		options.Server = "s1"
	}
	options.Service = "ordering"
	gate := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = gate.Run(ctx)
	}()
	front := httptest.NewUnstartedServer(gate)
	front.Config.ErrorLog = nil
	front.Start()
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		front.CloseClientConnections()
		front.Close()
		cancel()
		<-stopped
	})
	return &testGate{t: t, gate: gate, frontend: front, client: &http.Client{Transport: transport}}
}

func httpBackend(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// rawBackend accepts connections and calls serve for each after reading a request.
func rawBackend(t *testing.T, serve func(net.Conn, *http.Request)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				serve(conn, req)
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (g *testGate) do(method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, g.frontend.URL+path, strings.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

func TestResponsesAreForwardedUnchanged(t *testing.T) {
	convey.Convey("Bodies of every size and framing reach the caller unchanged", t, func() {
		big := strings.Repeat("0123456789abcdef", 40000)
		g := newTestGate(t, httpBackend(t, func(w http.ResponseWriter, r *http.Request) {
			text, _ := io.ReadAll(r.Body)
			if r.URL.Path == "/known" {
				w.Header().Set("Content-Length", fmt.Sprint(len(text)))
			}
			w.Header().Set("X-Seen-Deadline", r.Header.Get(HeaderDeadline))
			_, _ = w.Write(text)
		}), Options{})
		for _, path := range []string{"/known", "/chunked"} {
			for _, body := range []string{"", "small", big} {
				got := g.do(http.MethodPost, path, body, HeaderDeadline, "3000")
				convey.So(got.err, convey.ShouldBeNil)
				convey.So(got.status, convey.ShouldEqual, http.StatusOK)
				convey.So(got.body == body, convey.ShouldBeTrue)
				convey.So(got.header.Get("X-Seen-Deadline"), convey.ShouldNotBeEmpty)
			}
		}
	})
}

func TestTrailersAreForwarded(t *testing.T) {
	convey.Convey("Trailers are forwarded, and responses without a body stay without one", t, func() {
		g := newTestGate(t, httpBackend(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodHead {
				w.Header().Set("Content-Length", "7")
				return
			}
			w.Header().Set("Trailer", "X-Checksum")
			_, _ = io.WriteString(w, "text")
			w.Header().Set("X-Checksum", "17")
		}), Options{})
		resp, err := g.client.Get(g.frontend.URL)
		convey.So(err, convey.ShouldBeNil)
		text, err := io.ReadAll(resp.Body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(text), convey.ShouldEqual, "text")
		convey.So(resp.Trailer.Get("X-Checksum"), convey.ShouldEqual, "17")
		head := g.do(http.MethodHead, "/", "")
		convey.So(head.err, convey.ShouldBeNil)
		convey.So(head.header.Get("Content-Length"), convey.ShouldEqual, "7")
	})
}

func TestBackendServerFails(t *testing.T) {
	cases := []struct {
		name   string
		serve  func(net.Conn, *http.Request)
		status int
		run    string
		kind   string
	}{
		{"closes after the request", func(net.Conn, *http.Request) {}, 502, "unknown", "backend_failed"},
		{"sends an incomplete header", func(c net.Conn, _ *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Le")
		}, 502, "unknown", "backend_failed"},
		{"does not respond before the deadline", func(c net.Conn, _ *http.Request) {
			_, _ = c.Read(make([]byte, 1))
		}, 504, "unknown", "backend_timeout"},
	}
	for _, c := range cases {
		convey.Convey("A backend server that "+c.name+" causes an unknown outcome", t, func() {
			g := newTestGate(t, rawBackend(t, c.serve), Options{})
			got := g.do(http.MethodPost, "/order", "x", HeaderDeadline, "300")
			convey.So(got.err, convey.ShouldBeNil)
			convey.So(got.status, convey.ShouldEqual, c.status)
			convey.So(got.header.Get(HeaderRun), convey.ShouldEqual, c.run)
			convey.So(got.header.Get(HeaderError), convey.ShouldEqual, c.kind)
		})
	}
	convey.Convey("A request is not run if the backend server accepts no connections", t, func() {
		g := newTestGate(t, netip.MustParseAddrPort("127.0.0.1:1"), Options{})
		got := g.do(http.MethodPost, "/order", "x")
		convey.So(got.status, convey.ShouldEqual, 503)
		convey.So(got.header.Get(HeaderRun), convey.ShouldEqual, "not-run")
		convey.So(got.header.Get(HeaderError), convey.ShouldEqual, "backend_unavailable")
		convey.So(got.header.Get("Retry-After"), convey.ShouldEqual, "1")
	})
	convey.Convey("A response that ends early does not look complete", t, func() {
		for _, head := range []string{"Content-Length: 10\r\n\r\n12345", "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n"} {
			g := newTestGate(t, rawBackend(t, func(c net.Conn, _ *http.Request) {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\n"+head)
			}), Options{})
			got := g.do(http.MethodGet, "/", "")
			convey.So(got.err, convey.ShouldNotBeNil)
		}
	})
}

func TestSlotsQueueAndCancel(t *testing.T) {
	convey.Convey("No more requests than the limit run concurrently, the others are queued or refused", t, func() {
		var running, maxRunning, total atomic.Int64
		release := make(chan struct{})
		g := newTestGate(t, httpBackend(t, func(_ http.ResponseWriter, r *http.Request) {
			total.Add(1)
			if n := running.Add(1); n > maxRunning.Load() {
				maxRunning.Store(n)
			}
			defer running.Add(-1)
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}), Options{})
		g.gate.SetLimits(1, 100, testTimeout)
		const calls = 30
		replies := make(chan reply, calls)
		for range calls {
			go func() { replies <- g.do(http.MethodPost, "/", "x") }()
		}
		refused := 0
		for range calls - 1 - 8 {
			got := <-replies
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(got.header.Get(HeaderError), convey.ShouldEqual, "overloaded")
			convey.So(got.header.Get(HeaderRun), convey.ShouldEqual, "not-run")
			refused++
		}
		close(release)
		for range calls - refused {
			convey.So((<-replies).status, convey.ShouldEqual, 200)
		}
		convey.So(maxRunning.Load(), convey.ShouldEqual, 1)
		convey.So(total.Load(), convey.ShouldEqual, calls-refused)
	})
	convey.Convey("A caller that disconnects cancels its request at the backend server", t, func() {
		started := make(chan struct{})
		canceled := make(chan struct{})
		g := newTestGate(t, httpBackend(t, func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(canceled)
		}), Options{})
		g.gate.SetLimits(1, 100, time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, g.frontend.URL, nil)
		go func() {
			<-started
			cancel()
		}()
		_, err := g.client.Do(req)
		convey.So(err, convey.ShouldNotBeNil)
		waitFor(t, "the backend server sees the cancellation", func() bool {
			select {
			case <-canceled:
				return true
			default:
				return false
			}
		})
	})
}

func TestDrainKeepsStreamsAndOpenRequests(t *testing.T) {
	convey.Convey("Open requests complete, new requests are refused, and Drain returns when all are done", t, func() {
		release := make(chan struct{})
		g := newTestGate(t, httpBackend(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/stream" {
				w.Header().Set("Content-Type", "text/event-stream")
			}
			_, _ = io.WriteString(w, "begin;")
			_ = http.NewResponseController(w).Flush()
			<-release
			_, _ = io.WriteString(w, "end")
		}), Options{})
		replies := make(chan reply, 2)
		go func() { replies <- g.do(http.MethodGet, "/stream", "") }()
		waitFor(t, "the stream is open", func() bool { return g.gate.Counters().Streams == 1 })
		go func() { replies <- g.do(http.MethodGet, "/order", "") }()
		waitFor(t, "the request is open", func() bool { return g.gate.Open() == 2 })
		short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		convey.So(g.gate.Drain(short), convey.ShouldNotBeNil)
		refused := g.do(http.MethodGet, "/order", "")
		convey.So(refused.status, convey.ShouldEqual, 503)
		convey.So(refused.header.Get(HeaderError), convey.ShouldEqual, "draining")
		convey.So(refused.header.Get(HeaderRun), convey.ShouldEqual, "not-run")
		close(release)
		for range 2 {
			got := <-replies
			convey.So(got.err, convey.ShouldBeNil)
			convey.So(got.body, convey.ShouldEqual, "begin;end")
		}
		convey.So(g.gate.Drain(context.Background()), convey.ShouldBeNil)
	})
}

func TestRelay(t *testing.T) {
	convey.Convey("Data is copied in both directions, with half-close, within the connection limit", t, func() {
		echo, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer echo.Close()
		go func() {
			for {
				conn, err := echo.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					_, _ = io.Copy(conn, conn)
				}()
			}
		}()
		gate := New(Options{Backend: netip.MustParseAddrPort(echo.Addr().String())})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = gate.Run(ctx) }()
		gate.SetLimits(1, 1, testTimeout)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		served := make(chan error, 1)
		go func() { served <- gate.ServeTCP(l) }()
		first, err := net.Dial("tcp", l.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		waitFor(t, "the first connection is relayed", func() bool { return gate.Open() == 1 })
		second, err := net.Dial("tcp", l.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		_, err = second.Read(make([]byte, 1))
		convey.So(err, convey.ShouldNotBeNil)
		_, _ = io.WriteString(first, "hello")
		_ = first.(*net.TCPConn).CloseWrite()
		text, err := io.ReadAll(first)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(text), convey.ShouldEqual, "hello")
		_ = first.Close()
		convey.So(gate.Drain(context.Background()), convey.ShouldBeNil)
		_ = l.Close()
		convey.So(<-served, convey.ShouldBeNil)
	})
}

func TestDependencyWithoutHealthyServer(t *testing.T) {
	convey.Convey("A request is refused before it is queued if a dependency has no healthy backend server", t, func() {
		var ran atomic.Int64
		backend := httpBackend(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
		g := newTestGate(t, backend, Options{
			DependencyHealthy: func() (string, bool) { return "catalogue", false },
		})
		got := g.do(http.MethodPost, "/order", "x")
		convey.So(got.status, convey.ShouldEqual, 503)
		convey.So(got.header.Get(HeaderError), convey.ShouldEqual, "dependency_unavailable")
		convey.So(got.header.Get(HeaderRun), convey.ShouldEqual, "not-run")
		convey.So(got.body, convey.ShouldContainSubstring, "catalogue")
		convey.So(ran.Load(), convey.ShouldEqual, 0)
	})
}
