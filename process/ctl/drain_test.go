package ctl

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/process/control"
)

func TestLookUpServer(t *testing.T) {
	cases := []struct {
		name, response, want string
		found                bool
	}{
		{"a listed server", `[{"control": "127.0.0.9:7001"}]`, "127.0.0.9:7001", true},
		{"an unknown server", `[]`, "", false},
		{"a truncated response", `{`, "", false},
	}
	for _, c := range cases {
		convey.Convey("The lookup in a balancer's view with "+c.name+" returns the listed address, if any", t, func() {
			balancer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != control.ServersPath || r.URL.Query().Get("server") != "a" {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				_, _ = w.Write([]byte(c.response))
			}))
			defer balancer.Close()
			control, ok := lookUpServer(t.Context(), strings.TrimPrefix(balancer.URL, "http://"), "a")
			convey.So(ok, convey.ShouldEqual, c.found)
			convey.So(control, convey.ShouldEqual, c.want)
		})
	}
}
