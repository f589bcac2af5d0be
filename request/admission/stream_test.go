package admission

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestStreamsDoNotStarveRequests(t *testing.T) {
	convey.Convey("Streams of every kind release the only slot for other requests", t, func() {
		release := make(chan struct{})
		g := newTestGate(t, httpBackend(t, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/events":
				w.Header().Set("Content-Type", "text/event-stream")
			case "/lines":
			case "/download":
				w.Header().Set("Content-Length", "10")
			default:
				_, _ = io.WriteString(w, "done")
				return
			}
			_, _ = io.WriteString(w, "begin")
			_ = http.NewResponseController(w).Flush()
			<-release
			_, _ = io.WriteString(w, ";end;")
		}), Options{})
		g.gate.SetLimits(1, 100, testTimeout)
		paths := []string{"/events", "/events", "/lines", "/lines", "/download"}
		replies := make(chan reply, len(paths))
		for _, path := range paths {
			go func() { replies <- g.do(http.MethodGet, path, "") }()
		}
		waitFor(t, "all streams are open", func() bool { return g.gate.Counters().Streams == int64(len(paths)) })
		for range 20 {
			convey.So(g.do(http.MethodPost, "/order", "x").body, convey.ShouldEqual, "done")
		}
		close(release)
		for range paths {
			convey.So((<-replies).body, convey.ShouldEqual, "begin;end;")
		}
		waitFor(t, "all requests and streams are closed", func() bool { return g.gate.Open() == 0 && g.gate.Counters().Streams == 0 })
	})
	convey.Convey("Streams beyond the connection limit are refused and not run", t, func() {
		release := make(chan struct{})
		g := newTestGate(t, httpBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
			<-release
		}), Options{})
		g.gate.SetLimits(1, 2, testTimeout)
		replies := make(chan reply, 2)
		for range 2 {
			go func() { replies <- g.do(http.MethodGet, "/", "") }()
		}
		waitFor(t, "two streams are open", func() bool { return g.gate.Counters().Streams == 2 })
		got := g.do(http.MethodGet, "/", "")
		convey.So(got.guarantee(), convey.ShouldEqual, "503 overloaded not-run not-run")
		close(release)
		<-replies
		<-replies
	})
}

func TestResponsesReachTheirOwnCallers(t *testing.T) {
	convey.Convey("Late and reordered responses reach their own callers or none", t, func() {
		arrived := make(chan chan struct{}, 2)
		backend := rawBackend(t, func(c net.Conn, req *http.Request) {
			turn := make(chan struct{})
			arrived <- turn
			<-turn
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
		})
		g := newTestGate(t, backend, Options{})
		g.gate.SetLimits(2, 100, testTimeout)
		g.raiseLimit(2, func() { close(<-arrived) })
		replies := make(map[string]chan reply)
		var turns []chan struct{}
		for _, path := range []string{"/one", "/two"} {
			replies[path] = make(chan reply, 1)
			go func() { replies[path] <- g.do(http.MethodPost, path, "x", HeaderDeadline, "4000") }()
			turns = append(turns, <-arrived)
		}
		close(turns[1])
		second := <-replies["/two"]
		close(turns[0])
		first := <-replies["/one"]
		convey.So(second.body, convey.ShouldEqual, "/two")
		convey.So(first.body, convey.ShouldEqual, "/one")

		late := g.do(http.MethodPost, "/late", "x", HeaderDeadline, "50")
		convey.So(late.guarantee(), convey.ShouldEqual, "504 backend_timeout unknown unknown")
		close(<-arrived)
		go func() { close(<-arrived) }()
		convey.So(g.do(http.MethodPost, "/next", "x").body, convey.ShouldEqual, "/next")
	})
}

// raiseLimit sends short requests, two at a time, until the limit is reached. It calls
// respond to let the backend server respond to one of them.
func (g *testGate) raiseLimit(limit int, respond func()) {
	for g.gate.snapshot.Load().limit < limit {
		var wait sync.WaitGroup
		for range 2 {
			wait.Go(func() { g.do(http.MethodPost, "/warm", "x") })
		}
		wait.Go(respond)
		wait.Go(respond)
		wait.Wait()
	}
}

func TestSlowCallerHoldsLittleMemory(t *testing.T) {
	convey.Convey("A caller that does not read applies back pressure to the backend server", t, func() {
		var mu sync.Mutex
		written := 0
		g := newTestGate(t, httpBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			block := make([]byte, 64<<10)
			for range 4096 {
				n, err := w.Write(block)
				mu.Lock()
				written += n
				mu.Unlock()
				if err != nil {
					return
				}
			}
		}), Options{})
		conn, err := net.Dial("tcp", g.frontend.Listener.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer conn.Close()
		fmt.Fprint(conn, "GET /download HTTP/1.1\r\nHost: x\r\n\r\n")
		progress := func() int {
			mu.Lock()
			defer mu.Unlock()
			return written
		}
		stalled, last := 0, -1
		waitFor(t, "the backend server is slowed down", func() bool {
			if now := progress(); now != last {
				stalled, last = 0, now
			} else if now > 0 {
				stalled++
			}
			return stalled > 20
		})
		convey.So(last, convey.ShouldBeLessThan, 64<<20)
		_ = conn.Close()
		waitFor(t, "the request is closed", func() bool { return g.gate.Open() == 0 })
	})
}

// TestStreamMemory measures the memory of an open stream in the agent. The callers
// and the backend server are plain connections in the same process.
func TestStreamMemory(t *testing.T) {
	const streams = 2000
	convey.Convey("Two thousand streams use less than 64 KiB each", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer l.Close()
		servers := make(chan net.Conn, streams)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 512))
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
				servers <- conn
			}
		}()
		g := newTestGate(t, netip.MustParseAddrPort(l.Addr().String()), Options{})
		g.gate.SetLimits(6, streams, time.Minute)
		before := memoryInUse()
		var callers []net.Conn
		for range streams {
			conn, err := net.Dial("tcp", g.frontend.Listener.Addr().String())
			convey.So(err, convey.ShouldBeNil)
			fmt.Fprint(conn, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
			callers = append(callers, conn)
			if len(callers)%32 == 0 {
				waitFor(t, "the streams are open", func() bool { return g.gate.Counters().Streams == int64(len(callers)) })
			}
		}
		waitFor(t, "all streams are open", func() bool { return g.gate.Counters().Streams == streams })
		perStream := (memoryInUse() - before) / streams
		fmt.Printf("bench request/stream_memory_at_2000 %d bytes\n", perStream)
		convey.So(perStream, convey.ShouldBeLessThan, 64<<10)
		for _, conn := range callers {
			_ = conn.Close()
		}
		for range streams {
			_ = (<-servers).Close()
		}
		waitFor(t, "all streams are closed", func() bool { return g.gate.Open() == 0 })
	})
}

// memoryInUse returns the bytes of heap and stack in use.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func benchmarkPost(b *testing.B, agents int, keyed bool) {
	cluster := newTestCluster(&testing.T{}, agents)
	defer cluster.killAll()
	a := cluster.agent("s1")
	client := &http.Client{Transport: &http.Transport{}}
	for b.Loop() {
		req, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, a.frontend.URL+"/orders", strings.NewReader("tags"))
		if keyed {
			req.Header.Set(HeaderKey, cluster.key())
			req.Header.Set(HeaderAttempt, "1")
		}
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d", resp.StatusCode)
		}
	}
}

func BenchmarkUnkeyed(b *testing.B)      { benchmarkPost(b, 1, false) }
func BenchmarkKeyed1Agent(b *testing.B)  { benchmarkPost(b, 1, true) }
func BenchmarkKeyed7Agents(b *testing.B) { benchmarkPost(b, 7, true) }
