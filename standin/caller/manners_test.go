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

// startOrders starts a service behind a fabric and returns the fabric's address.
func startOrders(t *testing.T, handler http.Handler) func(func(*Command)) *Report {
	balancer := freePort(t)
	fabricAddress := startFabric(t, balancer)
	startService(t, balancer, fabricAddress, handler)
	return func(change func(*Command)) *Report {
		report, err := runLoad(t, fabricAddress, change)
		convey.So(err, convey.ShouldBeNil)
		return report
	}
}

func TestManners(t *testing.T) {
	convey.Convey("A caller that gives up ends the request at the service", t, func() {
		run := startOrders(t, answering(func(_ http.ResponseWriter, r *http.Request) bool {
			<-r.Context().Done()
			return true
		}))
		report := run(func(c *Command) {
			c.CancelShare = 1
			c.CancelAfter = 20 * time.Millisecond
			c.ExpectAnswers = 0
		})
		convey.So(report.Orders.Canceled, convey.ShouldBeGreaterThan, 0)
		convey.So(report.Totals, convey.ShouldResemble, Totals{})
	})
	convey.Convey("Twins are two tries under one key, numbered 1 and 2", t, func() {
		var mu sync.Mutex
		seen := make(map[string]string)
		run := startOrders(t, answering(func(_ http.ResponseWriter, r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			seen[r.Header.Get(headerRequest)] = r.Header.Get(headerKey) + " " + r.Header.Get(headerAttempt)
			return false
		}))
		report := run(func(c *Command) { c.TwinShare = 1 })
		mu.Lock()
		defer mu.Unlock()
		convey.So(len(seen), convey.ShouldEqual, 2*report.Totals.Responses)
		tries := make(map[string]int)
		for _, keyAndNumber := range seen {
			tries[keyAndNumber]++
		}
		convey.So(len(tries), convey.ShouldEqual, len(seen))
	})
	convey.Convey("Tries after a refusal keep number 1, tries after an unknown outcome do not", t, func() {
		var mu sync.Mutex
		numbers := make(map[string]bool)
		run := startOrders(t, answering(func(w http.ResponseWriter, r *http.Request) bool {
			request := r.Header.Get(headerRequest)
			try := request[len(request)-1:]
			mu.Lock()
			numbers[try+":"+r.Header.Get(headerAttempt)] = true
			mu.Unlock()
			switch try {
			case "0":
				w.Header().Set(headerRun, runNot)
				w.WriteHeader(http.StatusServiceUnavailable)
			case "1":
				w.WriteHeader(http.StatusBadGateway)
			}
			return try < "2"
		}))
		report := run(func(c *Command) {
			c.Repeat = RetryUnknown
			c.Repeats = 3
			c.OrdersPerSecond = 50
		})
		convey.So(report.Totals.Responses, convey.ShouldBeGreaterThan, 0)
		convey.So(report.Orders.Retries, convey.ShouldEqual, 2*report.Totals.Responses)
		mu.Lock()
		defer mu.Unlock()
		convey.So(numbers, convey.ShouldResemble, map[string]bool{"0:1": true, "1:1": true, "2:2": true})
	})
}

func TestPacedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		reader := paced(context.Background(), bytes.NewReader(make([]byte, 3000)), 1000)
		n, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{reader}, make([]byte, 500))
		if n != 3000 || err != nil {
			t.Fatal(n, err)
		}
		if took := time.Since(started); took != 3*time.Second {
			t.Fatalf("3000 bytes at 1000 a second took %s", took)
		}
	})
}
