package fault

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"bergamotbank/errkind"
)

const (
	// shutdownTimeout is how long a shutdown waits for open requests.
	shutdownTimeout = time.Second
	// readHeaderTimeout is how long reading the header of a request may take.
	readHeaderTimeout = 10 * time.Second
)

// Serve runs an HTTP server on address until ctx is done. The contexts of requests
// derive from ctx, so that long requests do not delay the shutdown.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	config := net.ListenConfig{}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errkind.Wrap(err, errkind.Usage, "listen on %s", address)
	}
	return ServeListener(ctx, listener, handler, nil)
}

// ConnContext derives the context of the requests of a new connection.
type ConnContext func(ctx context.Context, conn net.Conn) context.Context

// ServeListener is like Serve but uses an open listener, which it closes. The
// function connContext may be nil.
func ServeListener(ctx context.Context, listener net.Listener, handler http.Handler, connContext ConnContext) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       connContext,
	}
	stop := context.AfterFunc(ctx, func() { shutdown(server) })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errkind.Wrap(err, errkind.Internal, "serve %s", listener.Addr())
}

func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// Abort resets the TCP connection of a request without sending a response. If the
// connection cannot be hijacked, it is closed without a reset.
func Abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	Reset(conn)
}

// Sleep waits for d or until ctx is done. It reports whether the whole time
// passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
