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

func TestStreamsAndOrdersDoNotStarveEachOther(t *testing.T) {
	convey.Convey("Streams of every kind leave the only slot to orders", t, func() {
		release := make(chan struct{})
		b := newBench(t, httpBackend(t, func(w http.ResponseWriter, r *http.Request) {
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
		b.gate.SetLimits(1, 100, testTimeout)
		paths := []string{"/events", "/events", "/lines", "/lines", "/download"}
		replies := make(chan reply, len(paths))
		for _, path := range paths {
			go func() { replies <- b.do(http.MethodGet, path, "") }()
		}
		waitFor(t, "all streams are open", func() bool { return b.gate.Counters().Streams == int64(len(paths)) })
		for range 20 {
			convey.So(b.do(http.MethodPost, "/order", "x").body, convey.ShouldEqual, "done")
		}
		close(release)
		for range paths {
			convey.So((<-replies).body, convey.ShouldEqual, "begin;end;")
		}
		waitFor(t, "everything is closed", func() bool { return b.gate.Open() == 0 && b.gate.Counters().Streams == 0 })
	})
	convey.Convey("Streams beyond the connection limit are refused, not run", t, func() {
		release := make(chan struct{})
		b := newBench(t, httpBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(w).Flush()
			<-release
		}), Options{})
		b.gate.SetLimits(1, 2, testTimeout)
		replies := make(chan reply, 2)
		for range 2 {
			go func() { replies <- b.do(http.MethodGet, "/", "") }()
		}
		waitFor(t, "two streams are open", func() bool { return b.gate.Counters().Streams == 2 })
		got := b.do(http.MethodGet, "/", "")
		convey.So(got.promise(), convey.ShouldEqual, "503 overloaded not-run not-run")
		close(release)
		<-replies
		<-replies
	})
}

func TestAnswersNeverCross(t *testing.T) {
	convey.Convey("Late and crossed answers reach their own callers, or nobody", t, func() {
		arrived := make(chan chan struct{}, 2)
		backend := rawBackend(t, func(c net.Conn, req *http.Request) {
			turn := make(chan struct{})
			arrived <- turn
			<-turn
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
		})
		b := newBench(t, backend, Options{})
		b.gate.SetLimits(2, 100, testTimeout)
		b.warm(2, func() { close(<-arrived) })
		replies := make(map[string]chan reply)
		var turns []chan struct{}
		for _, path := range []string{"/one", "/two"} {
			replies[path] = make(chan reply, 1)
			go func() { replies[path] <- b.do(http.MethodPost, path, "x", HeaderDeadline, "4000") }()
			turns = append(turns, <-arrived)
		}
		close(turns[1])
		second := <-replies["/two"]
		close(turns[0])
		first := <-replies["/one"]
		convey.So(second.body, convey.ShouldEqual, "/two")
		convey.So(first.body, convey.ShouldEqual, "/one")

		late := b.do(http.MethodPost, "/late", "x", HeaderDeadline, "50")
		convey.So(late.promise(), convey.ShouldEqual, "504 backend_timeout unknown unknown")
		close(<-arrived)
		go func() { close(<-arrived) }()
		convey.So(b.do(http.MethodPost, "/next", "x").body, convey.ShouldEqual, "/next")
	})
}

// warm sends quick requests, two at a time, until the limit has grown.
func (b *bench) warm(limit int, answer func()) {
	for b.gate.seen.Load().limit < limit {
		var wait sync.WaitGroup
		for range 2 {
			wait.Go(func() { b.do(http.MethodPost, "/warm", "x") })
		}
		wait.Go(answer)
		wait.Go(answer)
		wait.Wait()
	}
}

func TestSlowCallerHoldsLittleMemory(t *testing.T) {
	convey.Convey("A large answer to a caller that does not read stays in the backend server", t, func() {
		var mu sync.Mutex
		written := 0
		b := newBench(t, httpBackend(t, func(w http.ResponseWriter, _ *http.Request) {
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
		conn, err := net.Dial("tcp", b.front.Listener.Addr().String())
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
		waitFor(t, "the exchange has ended", func() bool { return b.gate.Open() == 0 })
	})
}

// TestStreamMemory measures what an open stream costs the agent. The callers and
// the backend server are bare connections in the same process.
func TestStreamMemory(t *testing.T) {
	const streams = 2000
	convey.Convey("Two thousand streams fit in little memory", t, func() {
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
		b := newBench(t, netip.MustParseAddrPort(l.Addr().String()), Options{})
		b.gate.SetLimits(6, streams, time.Minute)
		before := memory()
		var callers []net.Conn
		for range streams {
			conn, err := net.Dial("tcp", b.front.Listener.Addr().String())
			convey.So(err, convey.ShouldBeNil)
			fmt.Fprint(conn, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
			callers = append(callers, conn)
			if len(callers)%32 == 0 {
				waitFor(t, "the streams are open", func() bool { return b.gate.Counters().Streams == int64(len(callers)) })
			}
		}
		waitFor(t, "all streams are open", func() bool { return b.gate.Counters().Streams == streams })
		perStream := (memory() - before) / streams
		fmt.Printf("bench request/stream_memory_at_2000 %d bytes\n", perStream)
		convey.So(perStream, convey.ShouldBeLessThan, 64<<10)
		for _, conn := range callers {
			_ = conn.Close()
		}
		for range streams {
			_ = (<-servers).Close()
		}
		waitFor(t, "all streams are closed", func() bool { return b.gate.Open() == 0 })
	})
}

// memory returns the bytes of heap and stacks in use.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func benchmarkPost(b *testing.B, agents int, keyed bool) {
	f := newFleet(&testing.T{}, agents)
	defer f.killAll()
	a := f.agent("s1")
	client := &http.Client{Transport: &http.Transport{}}
	for b.Loop() {
		req, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, a.front.URL+"/orders", strings.NewReader("tags"))
		if keyed {
			req.Header.Set(HeaderKey, f.key())
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
