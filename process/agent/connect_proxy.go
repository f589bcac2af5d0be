package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/process/settings"
	"bergamotbank/version/config"
)

// callDialTimeout bounds connection establishment to another service.
const callDialTimeout = 5 * time.Second

// dialer opens flows to other services through the fabric.
type dialer interface {
	DialContext(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// connectProxy is the HTTP CONNECT proxy through which the backend server reaches
// the services that its own service depends on, by name. Requests for other
// services are refused with CallNotAllowed.
type connectProxy struct {
	listener     net.Listener
	dependencies dependencies
	dialer       dialer
	logger       *zap.Logger
}

// dependencies looks up a service that the backend server may call; it returns
// false for any other.
type dependencies interface {
	dependency(name string) (config.Service, bool)
}

// newConnectProxy opens the proxy's listener. Without an address for calls in the
// settings the returned proxy does nothing.
func newConnectProxy(s settings.Settings, allowed dependencies, dialer dialer, logger *zap.Logger) (*connectProxy, error) {
	p := &connectProxy{dependencies: allowed, dialer: dialer, logger: logger}
	if !s.Agent.Calls.IsValid() {
		return p, nil
	}
	listener, err := net.Listen("tcp", s.Agent.Calls.String())
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "field \"agent.calls\": listen on %s", s.Agent.Calls)
	}
	p.listener = listener
	return p, nil
}

// run serves CONNECT requests until ctx is done.
func (p *connectProxy) run(ctx context.Context) error {
	if p.listener == nil {
		return nil
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(p.handle),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          zap.NewStdLog(p.logger),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(p.listener)
	if ctx.Err() != nil {
		return nil
	}
	return errkind.Wrap(err, errkind.Internal, "serve the CONNECT proxy")
}

func (p *connectProxy) handle(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		writeError(w, errkind.New(errkind.Usage, "method %s: use CONNECT service:port", r.Method))
		return
	}
	name, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		writeError(w, errkind.Wrap(err, errkind.Usage, "target %q", r.Host))
		return
	}
	service, ok := p.dependencies.dependency(name)
	if !ok {
		writeError(w, errkind.New(errkind.CallNotAllowed, "service %q is not in depends_on", name))
		return
	}
	upstream, err := p.dial(r.Context(), service)
	if err != nil {
		writeError(w, errkind.Wrap(err, errkind.DependencyUnavailable, "service %q", name))
		return
	}
	p.tunnel(w, upstream)
}

func (p *connectProxy) dial(ctx context.Context, service config.Service) (net.Conn, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, callDialTimeout)
	defer cancel()
	return p.dialer.DialContext(timeoutCtx, service.AddrPort())
}

// tunnel copies data between the backend server's connection and the flow to the
// other service until both directions have ended.
func (p *connectProxy) tunnel(w http.ResponseWriter, upstream net.Conn) {
	downstream, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = upstream.Close()
		writeError(w, errkind.Wrap(err, errkind.Internal, "hijack"))
		return
	}
	_, err = io.WriteString(downstream, "HTTP/1.1 200 Connection established\r\n\r\n")
	if err != nil {
		_ = upstream.Close()
		_ = downstream.Close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { relay(upstream, buffered) })
	directions.Go(func() { relay(downstream, upstream) })
	directions.Wait()
	_ = upstream.Close()
	_ = downstream.Close()
}

// writeCloser is a connection whose write side can be closed separately.
type writeCloser interface {
	CloseWrite() error
}

// relay copies until the source ends and then closes the write side of the
// destination, so that the other direction can finish. After a copy error, or if
// the write side cannot be closed separately, it closes the whole destination.
func relay(destination net.Conn, source io.Reader) {
	_, err := io.Copy(destination, source)
	halfCloser, ok := destination.(writeCloser)
	if err == nil && ok {
		_ = halfCloser.CloseWrite()
		return
	}
	_ = destination.Close()
}

func writeError(w http.ResponseWriter, err error) {
	response := errkind.Of(err).Properties()
	w.Header().Set("Bergamot-Error", response.Name)
	w.Header().Set("Bergamot-Run", response.Execution.String())
	http.Error(w, err.Error(), response.HTTPStatus)
}
