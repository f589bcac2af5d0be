package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
)

// Time limits of callers' connections, and the interval at which the agent checks
// whether the service's protocol is known.
const (
	readHeaderTimeout    = 10 * time.Second
	idleTimeout          = 5 * time.Minute
	protocolPollInterval = 50 * time.Millisecond
)

// accept serves callers' flows with the protocol of the service. It waits for the
// first configuration, which contains the protocol.
func (a *Agent) accept(ctx context.Context) error {
	protocol, ok := a.waitForProtocol(ctx)
	if !ok {
		return nil
	}
	listener := a.endpoint.Listen()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	if protocol == config.ProtocolTCP {
		return a.gate.ServeTCP(listener)
	}
	return a.serveRequests(ctx, listener)
}

func (a *Agent) waitForProtocol(ctx context.Context) (config.Protocol, bool) {
	ticker := time.NewTicker(protocolPollInterval)
	defer ticker.Stop()
	for {
		service, ok := a.cluster.ownService()
		if ok {
			return service.Protocol, true
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-ticker.C:
		}
	}
}

func (a *Agent) serveRequests(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           a.gate,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(a.logger),
	}
	err := server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return server.Close()
	}
	return errkind.Wrap(err, errkind.Internal, "serve callers' HTTP connections")
}
