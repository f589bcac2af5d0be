package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	netstackipv4 "gvisor.dev/gvisor/pkg/tcpip/network/ipv4"

	"bergamotbank/errkind"
	"bergamotbank/standin/fabric"
)

var serviceAddress = netip.MustParseAddr("198.18.0.10")

// lastHost is the number of loopback addresses that tests have used.
var lastHost atomic.Uint32

// freePort returns a UDP and TCP port on a loopback address that no other test
// uses, so that a socket bound to port 0 elsewhere cannot take it.
func freePort(t testing.TB) netip.AddrPort {
	t.Helper()
	host := lastHost.Add(1)
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(100 + pid>>8%32), byte(pid), byte(host)})
	return netip.AddrPortFrom(ip, 7000)
}

// startFabric runs a fabric with one balancer that is always considered alive.
func startFabric(t testing.TB, balancer netip.AddrPort) netip.AddrPort {
	t.Helper()
	command := &fabric.Command{
		Listen:        freePort(t),
		ServicePrefix: netip.MustParsePrefix("198.18.0.0/16"),
		Balancers:     []fabric.Balancer{{Name: "b1", Packet: balancer}},
		HealthPeriod:  time.Second,
		Seed:          1,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- command.Run(ctx, zap.NewNop()) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return command.Listen
}

// startService serves HTTP on the service address. It receives the packets of the
// fabric directly, in place of balancer and agent.
func startService(t testing.TB, local, fabricAddress netip.AddrPort, handler http.Handler) {
	t.Helper()
	n, err := NewNetwork(local, fabricAddress, serviceAddress)
	if err != nil {
		t.Fatal(err)
	}
	full := tcpip.FullAddress{NIC: nicID, Addr: tcpip.AddrFrom4(serviceAddress.As4()), Port: 80}
	listener, err := gonet.ListenTCP(n.stack, full, netstackipv4.ProtocolNumber)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	t.Cleanup(func() {
		server.Close()
		n.Close()
	})
}

// orderHandler returns a handler that responds to orders as a backend server does.
// The function intercept runs first; if it returns true, it has handled the request.
func orderHandler(intercept func(w http.ResponseWriter, r *http.Request) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(headerService, "ordering")
		if intercept(w, r) {
			return
		}
		body, _ := json.Marshal(identity{Request: r.Header.Get(headerRequest), Key: r.Header.Get(headerKey)})
		w.Header().Set(headerChecksum, checksumOf(body))
		_, _ = w.Write(body)
	})
}

// runLoad sends orders for 300 ms and returns the report. The function change
// adjusts the command before the run.
func runLoad(t testing.TB, fabricAddress netip.AddrPort, change func(*Command)) (*Report, error) {
	t.Helper()
	command := &Command{
		Fabric:            fabricAddress,
		Local:             netip.MustParseAddrPort("127.0.0.1:0"),
		Address:           netip.MustParseAddr("198.19.0.1"),
		Name:              "test",
		Seed:              1,
		Timeout:           5 * time.Second,
		Duration:          300 * time.Millisecond,
		Orders:            "http://198.18.0.10/orders",
		OrdersPerSecond:   200,
		MaxInFlight:       1000,
		Report:            filepath.Join(t.TempDir(), "report.json"),
		ExpectNoBroken:    true,
		ExpectUncorrupted: true,
		ExpectResponses:   1,
	}
	change(command)
	runErr := command.Run(context.Background(), zap.NewNop())
	text, err := os.ReadFile(command.Report)
	if err != nil {
		t.Fatal(err)
	}
	var report Report
	if err := json.Unmarshal(text, &report); err != nil {
		t.Fatal(err)
	}
	return &report, runErr
}

func TestOrdersThroughFabric(t *testing.T) {
	noChange := func(*Command) {}
	complete := func(http.ResponseWriter, *http.Request) bool { return false }
	cases := []struct {
		name      string
		intercept func(http.ResponseWriter, *http.Request) bool
		change    func(*Command)
		kind      errkind.Kind
		count     func(*Report) uint64
	}{
		{"complete responses", complete, noChange, errkind.Internal, func(r *Report) uint64 { return r.Totals.Responses }},
		{"reset flows", func(http.ResponseWriter, *http.Request) bool {
			panic(http.ErrAbortHandler)
		}, noChange, errkind.Partial, func(r *Report) uint64 { return r.Totals.BrokenFlows }},
		{"corrupted responses", func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(headerChecksum, "1")
			_, _ = w.Write([]byte("{}"))
			return true
		}, noChange, errkind.Partial, func(r *Report) uint64 { return r.Totals.CorruptedResponses }},
		{"responses to another request", func(_ http.ResponseWriter, r *http.Request) bool {
			r.Header.Set(headerKey, "another")
			return false
		}, noChange, errkind.Partial, func(r *Report) uint64 { return r.Totals.MismatchedResponses }},
		{"responses from another service", func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(headerService, "archive")
			return false
		}, func(c *Command) {
			c.Services = []Expectation{{Host: "198.18.0.10", Service: "ordering"}}
		}, errkind.Partial, func(r *Report) uint64 { return r.Totals.WrongService }},
		{"refusals", func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(headerRun, notRun)
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}, noChange, errkind.Partial, func(r *Report) uint64 { return r.Totals.NotRun }},
		{"unknown outcomes", func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}, noChange, errkind.Partial, func(r *Report) uint64 { return r.Totals.Unknown }},
	}
	for _, c := range cases {
		convey.Convey("A load run counts "+c.name, t, func() {
			balancer := freePort(t)
			fabricAddress := startFabric(t, balancer)
			startService(t, balancer, fabricAddress, orderHandler(c.intercept))
			report, err := runLoad(t, fabricAddress, c.change)
			convey.So(errkind.Of(err), convey.ShouldEqual, c.kind)
			convey.So(c.count(report), convey.ShouldBeGreaterThan, 0)
		})
	}
}

// checksumOf returns the checksum that a backend server sends for a body.
func checksumOf(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
