package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// startOrderService starts a service behind a fabric and returns a function that
// runs a load against it.
func startOrderService(t *testing.T, handler http.Handler) func(func(*Command)) *Report {
	balancer := freePort(t)
	fabricAddress := startFabric(t, balancer)
	startService(t, balancer, fabricAddress, handler)
	return func(change func(*Command)) *Report {
		report, err := runLoad(t, fabricAddress, change)
		convey.So(err, convey.ShouldBeNil)
		return report
	}
}

func TestCallerBehavior(t *testing.T) {
	convey.Convey("A caller that cancels a request ends it at the service", t, func() {
		run := startOrderService(t, orderHandler(func(_ http.ResponseWriter, r *http.Request) bool {
			<-r.Context().Done()
			return true
		}))
		report := run(func(c *Command) {
			c.CancelShare = 1
			// Long enough to open the connection on a busy machine: a cancellation
			// before that counts as not connected.
			c.CancelAfter = 300 * time.Millisecond
			c.ExpectResponses = 0
		})
		convey.So(report.Orders.Canceled, convey.ShouldBeGreaterThan, 0)
		convey.So(report.Totals, convey.ShouldResemble, Totals{})
	})
	convey.Convey("A duplicated request is two attempts under one key, numbered 1 and 2", t, func() {
		var mu sync.Mutex
		seen := make(map[string]string)
		run := startOrderService(t, orderHandler(func(_ http.ResponseWriter, r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			seen[r.Header.Get(headerRequest)] = r.Header.Get(headerKey) + " " + r.Header.Get(headerAttempt)
			return false
		}))
		report := run(func(c *Command) { c.DuplicateShare = 1 })
		mu.Lock()
		defer mu.Unlock()
		convey.So(len(seen), convey.ShouldEqual, 2*report.Totals.Responses)
		attempts := make(map[string]int)
		for _, keyAndNumber := range seen {
			attempts[keyAndNumber]++
		}
		convey.So(len(attempts), convey.ShouldEqual, len(seen))
	})
	convey.Convey("Attempts after a refusal keep number 1, attempts after an unknown outcome do not", t, func() {
		var mu sync.Mutex
		numbers := make(map[string]bool)
		run := startOrderService(t, orderHandler(func(w http.ResponseWriter, r *http.Request) bool {
			request := r.Header.Get(headerRequest)
			index := request[len(request)-1:]
			mu.Lock()
			numbers[index+":"+r.Header.Get(headerAttempt)] = true
			mu.Unlock()
			switch index {
			case "0":
				w.Header().Set(headerRun, notRun)
				w.WriteHeader(http.StatusServiceUnavailable)
			case "1":
				w.WriteHeader(http.StatusBadGateway)
			}
			return index < "2"
		}))
		report := run(func(c *Command) {
			c.Retry = RetryUnknown
			c.MaxRetries = 3
			c.OrdersPerSecond = 50
		})
		convey.So(report.Totals.Responses, convey.ShouldBeGreaterThan, 0)
		convey.So(report.Orders.Retries, convey.ShouldEqual, 2*report.Totals.Responses)
		mu.Lock()
		defer mu.Unlock()
		convey.So(numbers, convey.ShouldResemble, map[string]bool{"0:1": true, "1:1": true, "2:2": true})
	})
}

func TestThrottledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		reader := throttle(context.Background(), bytes.NewReader(make([]byte, 3000)), 1000)
		n, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{reader}, make([]byte, 500))
		if n != 3000 || err != nil {
			t.Fatal(n, err)
		}
		if elapsed := time.Since(started); elapsed != 3*time.Second {
			t.Fatalf("reading 3000 bytes at 1000 bytes/s took %s, expected 3s", elapsed)
		}
	})
}
