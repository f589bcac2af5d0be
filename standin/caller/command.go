// Package caller provides simulated callers and a load generator. It runs a
// user-space TCP stack whose packets go to the fabric, or uses the TCP stack of
// the operating system if no fabric is given. The load is open-loop: requests
// arrive at random times at a fixed mean rate, regardless of how long responses
// take. Streams stay open for the whole run. Every response is verified, and the
// run produces a report.
package caller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"bergamotbank/errkind"
)

// Command is the subcommand that runs a caller.
type Command struct {
	Fabric  netip.AddrPort `arg:"--fabric" help:"UDP address of the fabric; without it, connections use the TCP stack of the operating system" placeholder:"IP:PORT"`
	Local   netip.AddrPort `arg:"--local" default:"127.0.0.1:0" help:"UDP address of the caller"`
	Address netip.Addr     `arg:"--address" default:"198.19.0.1" help:"inner address of the caller"`
	Name    string         `arg:"--name" default:"caller" help:"name in request identifiers and reports"`
	Seed    uint64         `arg:"--seed" default:"1" help:"seed of arrivals"`
	Timeout time.Duration  `arg:"--timeout" default:"10s" help:"deadline of a request, sent in X-Deadline-Ms"`
	Body    string         `arg:"--body" default:"{\"tags\":40}" help:"body of orders, releases and --once"`

	Once      string `arg:"--once" help:"send one request to this URL, print the response and exit" placeholder:"URL"`
	Method    string `arg:"--method" default:"GET" help:"method of --once"`
	Key       string `arg:"--key" help:"Idempotency-Key of --once"`
	RequestID string `arg:"--request-id" help:"X-Request-Id of --once"`

	Duration           time.Duration `arg:"--duration" default:"10s" help:"length of the run"`
	Orders             string        `arg:"--orders" help:"URL that takes orders" placeholder:"URL"`
	OrdersPerSecond    float64       `arg:"--orders-per-second" default:"10" help:"mean rate of orders"`
	Releases           string        `arg:"--releases" help:"URL that takes releases" placeholder:"URL"`
	ReleasesPerSecond  float64       `arg:"--releases-per-second" default:"10" help:"mean rate of releases"`
	Downloads          string        `arg:"--downloads" help:"URL of a download" placeholder:"URL"`
	DownloadsPerSecond float64       `arg:"--downloads-per-second" default:"1" help:"mean rate of downloads"`
	DownloadTimeout    time.Duration `arg:"--download-timeout" default:"60s" help:"deadline of a download"`
	Status             string        `arg:"--status" help:"URL of a status stream" placeholder:"URL"`
	Streams            int           `arg:"--streams" default:"10" help:"status streams held open"`
	StatusInterval     time.Duration `arg:"--status-interval" default:"1s" help:"interval between the lines of a status stream, as set by its URL, and between the lines of an echo flow"`
	IdleTimeout        time.Duration `arg:"--silence" default:"5s" help:"time without a line after which a stream or echo flow is closed and counted as broken; for streams at least ten intervals"`
	Echo               string        `arg:"--echo" help:"address of a TCP echo service" placeholder:"IP:PORT"`
	EchoFlows          int           `arg:"--echo-flows" default:"10" help:"flows to the echo service that are kept open"`
	Ramp               time.Duration `arg:"--ramp" default:"1s" help:"time over which the opening of streams and echo flows is spread"`
	MaxInFlight        int           `arg:"--max-in-flight" default:"10000" help:"maximum number of requests of a class in flight; further arrivals are not sent"`
	KeepAlive          bool          `arg:"--keep-alive" help:"orders and releases reuse flows"`
	Retry              RetryPolicy   `arg:"--repeat" default:"never" help:"which requests are retried under the same key: never, not-run or unknown"`
	MaxRetries         int           `arg:"--repeats" default:"3" help:"maximum number of retries of a request; the delay doubles each time and respects Retry-After"`
	CancelShare        float64       `arg:"--cancel-share" help:"share of orders and releases that the caller cancels"`
	CancelAfter        time.Duration `arg:"--cancel-after" default:"10ms" help:"time after which the caller cancels an attempt"`
	DuplicateShare     float64       `arg:"--twin-share" help:"share of orders and releases sent twice concurrently under one key"`
	DownloadRate       int           `arg:"--download-rate" help:"bytes per second at which a download is read; 0: no limit"`
	Services           []Expectation `arg:"--service,separate" help:"service that must respond at an address; repeat for more" placeholder:"IP:PORT=NAME"`

	Report   string `arg:"--report" help:"file for the JSON report; standard output if not given" placeholder:"FILE"`
	Requests string `arg:"--requests" help:"file for one JSON line per request" placeholder:"FILE"`
	Plot     string `arg:"--plot" help:"file for a plot of the run, .svg or .png" placeholder:"FILE"`

	ExpectNoBroken    bool   `arg:"--expect-no-broken" help:"fail if an established flow broke, timed out or received lines out of sequence"`
	ExpectUncorrupted bool   `arg:"--expect-whole" help:"fail if a response was corrupted, belonged to another request or came from the wrong service"`
	ExpectNoUnknown   bool   `arg:"--expect-no-unknown" help:"fail if a response left the outcome unknown"`
	ExpectNoRefusal   bool   `arg:"--expect-no-refusal" help:"fail if a request was refused"`
	ExpectConnected   bool   `arg:"--expect-connected" help:"fail if a flow could not be opened"`
	ExpectResponses   uint64 `arg:"--expect-answers" help:"fail if there were fewer complete responses"`
}

// Run runs the caller until it has finished or ctx is canceled.
func (c *Command) Run(ctx context.Context, log *zap.Logger) error {
	if c.Once == "" {
		return c.runLoad(ctx, log)
	}
	if err := c.checkFlags(); err != nil {
		return err
	}
	dial, closeNetwork, err := c.openNetwork()
	if err != nil {
		return err
	}
	defer closeNetwork()
	return c.runOnce(ctx, &http.Client{Transport: newTransport(dial, false)})
}

func (c *Command) checkFlags() error {
	switch {
	case c.MaxInFlight < 1:
		return errkind.New(errkind.Usage, "--max-in-flight %d is not positive", c.MaxInFlight)
	case !c.Address.Is4():
		return errkind.New(errkind.Usage, "--address %s is not an IPv4 address", c.Address)
	case c.Duration <= 0:
		return errkind.New(errkind.Usage, "--duration %s is not positive", c.Duration)
	}
	return nil
}

// openNetwork returns the function that opens flows and the function that closes
// the network.
func (c *Command) openNetwork() (dialFunc, func(), error) {
	if !c.Fabric.IsValid() {
		direct := &net.Dialer{}
		return direct.DialContext, func() {}, nil
	}
	n, err := NewNetwork(c.Local, c.Fabric, c.Address)
	if err != nil {
		return nil, nil, err
	}
	return n.DialContext, n.Close, nil
}
