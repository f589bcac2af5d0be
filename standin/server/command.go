// Package server provides a simulated backend server. It executes orders and
// releases on a limited number of slots, streams status lines and serves downloads.
// It starts cold, crashes under overload, drains, sheds load, and honors
// cancellation and deadlines. Each execution of a non-idempotent request is logged.
package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
)

// Protocols of a backend server.
const (
	protocolRequest = "request"
	protocolTCP     = "tcp"
)

// Command is the subcommand that runs a backend server.
type Command struct {
	Listen        netip.AddrPort `arg:"--listen,required" help:"TCP address of the service" placeholder:"IP:PORT"`
	Control       netip.AddrPort `arg:"--control" help:"HTTP address of the fault switches; the address of the service if not given" placeholder:"IP:PORT"`
	Name          string         `arg:"--name,required" help:"name of the server, sent in the response header X-Server"`
	Service       string         `arg:"--service,required" help:"name of the service, sent in the response header X-Service"`
	Protocol      string         `arg:"--protocol" default:"request" help:"request (HTTP) or tcp (echo)"`
	Slots         int            `arg:"--slots" default:"2" help:"maximum number of concurrent requests"`
	Queue         int            `arg:"--queue" default:"-1" help:"maximum number of queued requests, above which the server crashes; negative: twice the slots"`
	Connections   int64          `arg:"--connections" default:"2000" help:"connections above this number are reset"`
	Work          time.Duration  `arg:"--work" default:"20ms" help:"mean work time of a request"`
	Cold          time.Duration  `arg:"--cold" default:"5s" help:"how long the server stays cold"`
	ColdSlots     int            `arg:"--cold-slots" default:"1" help:"maximum number of concurrent requests while cold"`
	ColdQueue     int            `arg:"--cold-queue" default:"1" help:"maximum number of queued requests while cold"`
	ColdSlowdown  float64        `arg:"--cold-slowdown" default:"4" help:"factor by which the work time is longer while cold"`
	CrashDuration time.Duration  `arg:"--fallen" default:"1s" help:"how long the server resets requests after a crash"`
	ShedAbove     int            `arg:"--shed-above" default:"0" help:"number of running and queued requests from which on new ones get status 503; 0: never"`
	SlotDownloads bool           `arg:"--slot-downloads" help:"downloads take a slot"`
	Seed          uint64         `arg:"--seed" default:"1" help:"seed of work times and random faults"`
}

// backend is one running backend server.
type backend struct {
	command    *Command
	instance   string
	slots      *slots
	counts     *counters
	executions *executions
	faults     *fault.Switches[Faults]
	random     *randomSource
	history    *loadHistory
	log        *zap.Logger
}

// Run serves until ctx is canceled.
func (c *Command) Run(ctx context.Context, log *zap.Logger) error {
	if err := c.check(); err != nil {
		return err
	}
	b := newBackend(c, log)
	listenConfig := net.ListenConfig{}
	inner, err := listenConfig.Listen(ctx, "tcp", c.Listen.String())
	if err != nil {
		return errkind.Wrap(err, errkind.Usage, "listen on %s", c.Listen)
	}
	listener := &limitedListener{Listener: inner, limit: c.Connections, counts: b.counts}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.sampleLoad(ctx)
	failed := make(chan error, 1)
	go func() {
		failed <- b.serveControl(ctx)
		cancel()
	}()
	log.Info("backend server is listening", zap.String("server", c.Name), zap.String("service", c.Service), zap.Stringer("address", c.Listen))
	err = b.serve(ctx, listener)
	cancel()
	if controlErr := <-failed; controlErr != nil {
		return controlErr
	}
	return err
}

func (c *Command) check() error {
	if c.Protocol != protocolRequest && c.Protocol != protocolTCP {
		return errkind.New(errkind.Usage, "--protocol %q is not request or tcp", c.Protocol)
	}
	if c.Slots < 1 || c.ColdSlots < 1 {
		return errkind.New(errkind.Usage, "--slots %d and --cold-slots %d must be at least 1", c.Slots, c.ColdSlots)
	}
	if c.Protocol == protocolTCP && !c.Control.IsValid() {
		return errkind.New(errkind.Usage, "--protocol tcp needs --control")
	}
	return nil
}

func newBackend(c *Command, log *zap.Logger) *backend {
	now := time.Now()
	counts := &counters{}
	b := &backend{
		command:    c,
		instance:   strconv.FormatInt(now.UnixNano(), 36),
		slots:      newSlots(c.limits(), counts, now),
		counts:     counts,
		executions: &executions{},
		faults:     fault.NewSwitches(Faults{}),
		random:     newRandomSource(c.Seed),
		history:    &loadHistory{},
		log:        log,
	}
	cold := 0
	b.faults.OnChange(func(f Faults) {
		if f.Cold > cold {
			b.slots.markCold()
		}
		cold = f.Cold
	})
	return b
}

func (c *Command) limits() Limits {
	queue := c.Queue
	if queue < 0 {
		queue = 2 * c.Slots
	}
	return Limits{
		Slots:      c.Slots,
		Queue:      queue,
		ColdSlots:  c.ColdSlots,
		ColdQueue:  c.ColdQueue,
		ColdFor:    c.Cold,
		CrashedFor: c.CrashDuration,
		ShedAbove:  c.ShedAbove,
	}
}

func (b *backend) serve(ctx context.Context, listener net.Listener) error {
	if b.command.Protocol == protocolTCP {
		return serveEcho(ctx, listener)
	}
	return fault.ServeListener(ctx, listener, b.routes(), withRequestCount)
}

func (b *backend) serveControl(ctx context.Context) error {
	if !b.command.Control.IsValid() {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	b.addControlRoutes(mux)
	return fault.Serve(ctx, b.command.Control.String(), mux)
}

func (b *backend) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", b.serveNonIdempotent)
	mux.HandleFunc("POST /releases", b.serveNonIdempotent)
	mux.HandleFunc("GET /status", b.serveStatus)
	mux.HandleFunc("GET /download", b.serveDownload)
	mux.HandleFunc("/echo", b.serveEchoRequest)
	mux.HandleFunc("GET /health", b.serveHealth)
	mux.HandleFunc("GET /load", b.serveLoad)
	if !b.command.Control.IsValid() {
		b.addControlRoutes(mux)
	}
	return countRequests(b.withIdentity(mux))
}

// withIdentity adds the server, its service and its instance to the header of each
// response.
func (b *backend) withIdentity(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerServer, b.command.Name)
		w.Header().Set(headerService, b.command.Service)
		w.Header().Set(headerInstance, b.instance)
		next.ServeHTTP(w, r)
	})
}

func (b *backend) addControlRoutes(mux *http.ServeMux) {
	mux.Handle("/fault", b.faults)
	mux.HandleFunc("GET /fault/counters", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, b.counts.snapshot())
	})
	mux.HandleFunc("GET /fault/executions", b.serveExecutions)
	mux.HandleFunc("GET /fault/history", b.serveHistory)
}

// serveEcho echoes the bytes of each connection until ctx is canceled.
func serveEcho(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "accept connection")
		}
		go echoConn(ctx, conn)
	}
}

func echoConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	_, _ = io.Copy(conn, conn)
}
