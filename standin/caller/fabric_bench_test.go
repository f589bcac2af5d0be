package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"
)

// benchWorkers is the number of requests in flight.
const benchWorkers = 32

// benchClient returns a client on a network of its own. Its packets go through a
// fabric straight to the service, without balancer and agent.
func benchClient(b *testing.B, handler http.Handler, keepAlive bool) *client {
	b.Helper()
	balancer := freePort(b)
	fabricAddress := startFabric(b, balancer)
	startService(b, balancer, fabricAddress, handler)
	n, err := NewNetwork(netip.MustParseAddrPort("127.0.0.1:0"), fabricAddress, netip.MustParseAddr("198.19.0.1"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(n.Close)
	return &client{
		http:     &http.Client{Transport: newTransport(n.DialContext, keepAlive)},
		services: newServiceTable(nil),
	}
}

func BenchmarkOrders(b *testing.B) {
	for _, keepAlive := range []bool{false, true} {
		b.Run("keepalive="+strconv.FormatBool(keepAlive), func(b *testing.B) {
			c := benchClient(b, orderHandler(func(http.ResponseWriter, *http.Request) bool { return false }), keepAlive)
			numbers := make(chan int)
			var group sync.WaitGroup
			b.ResetTimer()
			for range benchWorkers {
				group.Go(func() {
					for number := range numbers {
						key := strconv.Itoa(number)
						order := attempt{method: http.MethodPost, url: "http://198.18.0.10/orders", body: []byte("x"), key: key, checkIdentity: true}
						ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
						if res := c.do(ctx, order); res.outcome != OutcomeAnswered {
							b.Error(res)
						}
						cancel()
					}
				})
			}
			for number := range b.N {
				numbers <- number
			}
			close(numbers)
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "orders/s")
		})
	}
}

// BenchmarkStreams keeps b.N status streams open concurrently and reports the
// memory per stream, client and server together.
func BenchmarkStreams(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"sequence":1}`)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	c := benchClient(b, handler, false)
	ctx, cancel := context.WithCancel(context.Background())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := &streamClient{url: "http://198.18.0.10/status", client: c}
	limit := make(chan struct{}, benchWorkers)
	var opened, closed sync.WaitGroup
	for range b.N {
		limit <- struct{}{}
		opened.Add(1)
		closed.Go(func() {
			response, res := s.open(ctx, time.Minute)
			<-limit
			opened.Done()
			if response == nil {
				b.Error(res)
				return
			}
			<-ctx.Done()
			response.Body.Close()
		})
	}
	opened.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	inUse := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
	b.ReportMetric(float64(inUse)/float64(b.N), "B/stream")
	cancel()
	closed.Wait()
}
