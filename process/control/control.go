// Package control provides the HTTP server of a process's control address: health
// and readiness checks, metrics, the Twirp services and the drain endpoint.
package control

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"bergamotbank/errkind"
)

// Timeouts of the control server.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 30 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Paths of the control address that bergamotctl uses.
const (
	// DrainPath starts a drain; only agents support it.
	DrainPath = "/drain"
	// ServersPath lists the backend servers in a balancer's view. The query
	// parameter ServerParameter restricts the list to one server.
	ServersPath = "/servers"
	// ServerParameter is the query parameter for the name of a backend server.
	ServerParameter = "server"
)

// Probe reports whether the process is ready. The reason is meant for operators.
type Probe func() (ok bool, reason string)

// Options configure a Server.
type Options struct {
	// Listen is the TCP address to serve on.
	Listen netip.AddrPort
	// Ready is the readiness probe behind GET /readyz.
	Ready Probe
	// Drain is called on POST /drain; nil if the process does not support draining.
	Drain func()
	// Logger logs the errors of the server.
	Logger *zap.Logger
}

// Server is the HTTP server of a process's control address.
type Server struct {
	options  Options
	mux      *http.ServeMux
	listener net.Listener
}

// New starts listening on the control address. Handlers are added with Mount before
// Run is called.
func New(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", options.Listen.String())
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "field \"control\": listen on %s", options.Listen)
	}
	s := &Server{options: options, mux: http.NewServeMux(), listener: listener}
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("POST "+DrainPath, s.drain)
	s.mux.Handle("GET /debug/vars", expvar.Handler())
	return s, nil
}

// Mount registers a handler for a path prefix.
func (s *Server) Mount(prefix string, handler http.Handler) {
	s.mux.Handle(prefix, handler)
}

// Run serves requests until ctx is done, then shuts down gracefully within
// shutdownTimeout.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(s.options.Logger),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return errkind.Wrap(err, errkind.Internal, "control server")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errkind.Wrap(server.Close(), errkind.Internal, "close control server")
	}
	return nil
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeLine(w, http.StatusOK, "ok")
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.options.Ready()
	if !ok {
		writeLine(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeLine(w, http.StatusOK, "ready")
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	if s.options.Drain == nil {
		writeLine(w, http.StatusNotFound, "this process does not support draining")
		return
	}
	s.options.Drain()
	writeLine(w, http.StatusAccepted, "draining")
}

func writeLine(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(line + "\n"))
}
