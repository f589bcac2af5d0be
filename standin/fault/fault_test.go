package fault

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// switchSet is the type of the switches in the tests.
type switchSet struct {
	Share float64  `json:"share"`
	Delay Duration `json:"delay"`
}

func TestSwitches(t *testing.T) {
	cases := []struct {
		name, method, body string
		status             int
		want               switchSet
	}{
		{"reading", "GET", "", 200, switchSet{Share: 0.5, Delay: Duration(time.Second)}},
		{"replacing", "PUT", `{"delay":"3ms"}`, 200, switchSet{Delay: Duration(3 * time.Millisecond)}},
		{"clearing", "PUT", `{}`, 200, switchSet{}},
		{"changing one", "PATCH", `{"share":1}`, 200, switchSet{Share: 1, Delay: Duration(time.Second)}},
		{"an unknown field", "PUT", `{"x":1}`, 400, switchSet{Share: 0.5, Delay: Duration(time.Second)}},
		{"an invalid duration", "PUT", `{"delay":"3"}`, 400, switchSet{Share: 0.5, Delay: Duration(time.Second)}},
		{"a negative duration", "PUT", `{"delay":"-3s"}`, 400, switchSet{Share: 0.5, Delay: Duration(time.Second)}},
		{"another method", "POST", `{}`, 405, switchSet{Share: 0.5, Delay: Duration(time.Second)}},
	}
	for _, c := range cases {
		convey.Convey("Fault switches: "+c.name, t, func() {
			switches := NewSwitches(switchSet{Share: 0.5, Delay: Duration(time.Second)})
			changes := 0
			switches.OnChange(func(switchSet) { changes++ })
			w := httptest.NewRecorder()
			switches.ServeHTTP(w, httptest.NewRequest(c.method, "/fault", strings.NewReader(c.body)))
			convey.So(w.Code, convey.ShouldEqual, c.status)
			convey.So(switches.Get(), convey.ShouldResemble, c.want)
			convey.So(changes == 1, convey.ShouldEqual, c.status == 200 && c.method != "GET")
		})
	}
}

func TestServeStopsWithContext(t *testing.T) {
	convey.Convey("The server stops when its context is done even if a request is open", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		entered := make(chan struct{})
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(entered)
			<-r.Context().Done()
		})
		done := make(chan error, 1)
		go func() { done <- ServeListener(ctx, listener, handler, nil) }()
		go http.Get("http://" + listener.Addr().String())
		<-entered
		cancel()
		convey.So(<-done, convey.ShouldBeNil)
	})
}
