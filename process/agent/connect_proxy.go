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

// callDialTimeout bounds the connection set-up of a call to another service.
const callDialTimeout = 5 * time.Second

// dialer opens flows to other services through the fabric.
type dialer interface {
	DialContext(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// calls is the HTTP CONNECT proxy through which the backend server reaches the
// services that its own service depends on, by their names. Other services are
// refused with CallNotAllowed.
type calls struct {
	listener net.Listener
	world    callable
	dialer   dialer
	logger   *zap.Logger
}

// callable tells which services may be called.
type callable interface {
	callable(name string) (config.Service, bool)
}

// newCalls opens the address for calls. Without such an address in the settings
// the returned proxy does nothing.
func newCalls(s settings.Settings, world callable, dialer dialer, logger *zap.Logger) (*calls, error) {
	c := &calls{world: world, dialer: dialer, logger: logger}
	if !s.Agent.Calls.IsValid() {
		return c, nil
	}
	listener, err := net.Listen("tcp", s.Agent.Calls.String())
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "field \"agent.calls\": listen on %s", s.Agent.Calls)
	}
	c.listener = listener
	return c, nil
}

// run serves calls until ctx ends.
func (c *calls) run(ctx context.Context) error {
	if c.listener == nil {
		return nil
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(c.serve),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          zap.NewStdLog(c.logger),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(c.listener)
	if ctx.Err() != nil {
		return nil
	}
	return errkind.Wrap(err, errkind.Internal, "serve calls")
}

func (c *calls) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		refuse(w, errkind.New(errkind.Usage, "method %s: use CONNECT service:port", r.Method))
		return
	}
	name, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		refuse(w, errkind.Wrap(err, errkind.Usage, "target %q", r.Host))
		return
	}
	service, ok := c.world.callable(name)
	if !ok {
		refuse(w, errkind.New(errkind.CallNotAllowed, "service %q is not in depends_on", name))
		return
	}
	upstream, err := c.dial(r.Context(), service)
	if err != nil {
		refuse(w, errkind.Wrap(err, errkind.DependencyUnavailable, "service %q", name))
		return
	}
	c.tunnel(w, upstream)
}

func (c *calls) dial(ctx context.Context, service config.Service) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, callDialTimeout)
	defer cancel()
	return c.dialer.DialContext(limited, service.AddrPort())
}

// tunnel joins the backend server's connection with the flow.
func (c *calls) tunnel(w http.ResponseWriter, upstream net.Conn) {
	downstream, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = upstream.Close()
		refuse(w, errkind.Wrap(err, errkind.Internal, "hijack"))
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

// writeCloser is a connection whose sending half can be closed alone.
type writeCloser interface {
	CloseWrite() error
}

// relay copies until the source ends and then closes the sending half of the
// destination, so that the other direction can finish.
func relay(destination net.Conn, source io.Reader) {
	_, err := io.Copy(destination, source)
	half, ok := destination.(writeCloser)
	if err == nil && ok {
		_ = half.CloseWrite()
		return
	}
	_ = destination.Close()
}

func refuse(w http.ResponseWriter, err error) {
	answer := errkind.Of(err).Answer()
	w.Header().Set("Bergamot-Error", answer.Name)
	w.Header().Set("Bergamot-Run", answer.Run.String())
	http.Error(w, err.Error(), answer.HTTPStatus)
}
