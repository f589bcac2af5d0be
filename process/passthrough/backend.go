package passthrough

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotbank/connection/gate"
	"bergamotbank/connection/steer"
)

const (
	// suspectAfter is the number of heartbeat intervals without a heartbeat after
	// which the backend server is checked by a connection.
	suspectAfter = 1.7
	// checkInterval is the pause between such checks, which are priced.
	checkInterval = 500 * time.Millisecond
	// checkTimeout bounds a check; the server is on the same VM.
	checkTimeout = 400 * time.Millisecond
	// olderSlack is the uncertainty of comparing the start of the server with that
	// of the agent by the time of day, which may jump by seconds. A server that is
	// wrongly taken for older costs some packets that it returns.
	olderSlack = 10 * time.Second
	// formerServers is the number of former servers whose late heartbeats are told
	// from those of the next one.
	formerServers = 8
)

// backend follows the backend server beside the agent by its heartbeats, and by a
// connection when heartbeats are missing. Its fields are guarded by the agent's
// lock.
type backend struct {
	agent *Agent
	// started is the time of day of the agent's start.
	started time.Time
	last    BackendHeartbeat
	// former are the incarnations of servers before the last one.
	former  []uint32
	heard   time.Duration
	leaving bool
	stopped bool
	// counts of heartbeats.
	reports, stale, malformed uint64
}

func newBackend(a *Agent) *backend {
	return &backend{agent: a, started: time.Now()}
}

// state returns the state to announce; it runs with the agent's lock held.
func (b *backend) state(now time.Duration) steer.State {
	server := b.agent.gate.Server()
	switch {
	case server.State == steer.Down:
		return steer.Down
	case b.stopped:
		return steer.Draining
	case server.State == steer.Ready && b.agent.gate.Failing():
		return steer.Failing
	case server.State == steer.Ready && now < server.ColdUntil:
		return steer.Cold
	}
	return server.State
}

// Heartbeat takes a heartbeat of the backend server.
func (b *backend) Heartbeat(report BackendHeartbeat) {
	a := b.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	b.reports++
	if b.outdated(report) {
		b.stale++
		a.logger.Info("outdated heartbeat ignored", zap.String("server", report.ID), zap.Uint64("sequence", report.Sequence),
			zap.Time("born", report.StartedAt))
		return
	}
	now := a.clock.now()
	before := a.gate.Server()
	b.last, b.heard = report, now
	server := gate.Server{
		Service:       report.Service,
		Domain:        report.Domain,
		Incarnation:   incarnation(report),
		State:         steer.Ready,
		Slots:         report.Slots,
		ColdUntil:     now + report.ColdRemaining,
		PredatesAgent: before.PredatesAgent,
	}
	if before.Incarnation == 0 {
		server.PredatesAgent = report.StartedAt.Before(b.started.Add(olderSlack))
	}
	if server.Incarnation != before.Incarnation {
		b.leaving = false
		b.former = append(b.former, before.Incarnation)
		b.former = b.former[max(0, len(b.former)-formerServers):]
	}
	if report.State == BackendDraining || b.leaving {
		server.State = steer.Draining
	}
	b.install(server, now)
}

// install hands a state of the server to the gate and tells the others when it
// has changed; it runs with the agent's lock held.
func (b *backend) install(server gate.Server, now time.Duration) {
	a := b.agent
	before := a.gate.Server()
	a.gate.SetServer(server, now)
	if server.State == before.State && server.Incarnation == before.Incarnation && server.Service == before.Service {
		a.sender.flush()
		return
	}
	a.logger.Info("backend server changed", zap.String("server", b.last.ID), zap.String("service", server.Service),
		zap.Stringer("state", server.State), zap.Uint32("incarnation", server.Incarnation), zap.Uint64("sequence", b.last.Sequence),
		zap.Duration("cold", server.ColdUntil-now))
	if server.Service != before.Service {
		a.setAgents()
	}
	a.roster.Announce(now)
	a.sender.flush()
}

// outdated tells whether a heartbeat is older than the last one; it runs with the
// agent's lock held. The start of a server is a time of day, which may have been set
// back: it decides only while the last server is heard.
func (b *backend) outdated(report BackendHeartbeat) bool {
	if report.ID == b.last.ID && report.StartedAt.Equal(b.last.StartedAt) {
		return report.Sequence <= b.last.Sequence
	}
	if slices.Contains(b.former, incarnation(report)) {
		return true
	}
	return report.StartedAt.Before(b.last.StartedAt) && !b.ended()
}

// ended tells whether the last server is down or should have been heard; it runs
// with the agent's lock held.
func (b *backend) ended() bool {
	return b.agent.gate.Server().State == steer.Down || b.silence() > b.patience()
}

// silence returns the time since the last heartbeat.
func (b *backend) silence() time.Duration { return b.agent.clock.now() - b.heard }

// patience returns the silence from which a server should have been heard.
func (b *backend) patience() time.Duration {
	return time.Duration(suspectAfter * float64(b.agent.heartbeat))
}

// incarnation identifies one start of a server; it is never 0.
func incarnation(report BackendHeartbeat) uint32 {
	return uint32(xxhash.Sum64String(report.ID+report.StartedAt.String())) | 1
}

// Deregister takes the notice that the server is about to end.
func (b *backend) Deregister(id string) {
	a := b.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if id != b.last.ID {
		return
	}
	b.leaving = true
	server := a.gate.Server()
	if server.State != steer.Down {
		server.State = steer.Draining
		b.install(server, a.clock.now())
	}
}

// Malformed counts a heartbeat that could not be read.
func (b *backend) Malformed(err error) {
	b.agent.mu.Lock()
	b.malformed++
	b.agent.mu.Unlock()
	b.agent.logger.Warn("heartbeat refused", zap.Error(err))
}

// greet asks the liveness check of a server that was there before the agent, so
// that it need not wait for the next heartbeat.
func (b *backend) greet(ctx context.Context) error {
	path, waiting := b.unheard()
	for ; waiting && path == ""; path, waiting = b.unheard() {
		if !sleep(ctx, tickInterval) {
			return nil
		}
	}
	if !waiting {
		return nil
	}
	a := b.agent
	client := http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.settings.Passthrough.Backend.String()+path, nil)
	if err != nil {
		a.logger.Warn("liveness check of the server", zap.Error(err))
		return nil
	}
	response, err := client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.assume(steer.Down)
		return nil
	}
	if err != nil {
		a.logger.Info("server does not answer its liveness check yet", zap.Error(err))
		return nil
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		b.assume(steer.Ready)
	}
	return nil
}

// unheard returns the path of the liveness check, once it is known, and whether
// the server has not been heard yet.
func (b *backend) unheard() (path string, waiting bool) {
	a := b.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.version != nil {
		path = a.version.Services[a.settings.Agent.Service].HealthPath
	}
	return path, a.gate.Server().State == steer.Unknown
}

// assume takes a server for what its liveness check showed until its first
// heartbeat tells more.
func (b *backend) assume(state steer.State) {
	a := b.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate.Server().State != steer.Unknown {
		return
	}
	now := a.clock.now()
	b.heard = now
	b.install(gate.Server{Service: a.settings.Agent.Service, Domain: a.settings.Domain, State: state, PredatesAgent: state == steer.Ready}, now)
}

// watch checks the server by a connection while heartbeats are missing.
func (b *backend) watch(ctx context.Context) error {
	for sleep(ctx, checkInterval) {
		if b.suspect() {
			b.check(ctx)
		}
	}
	return nil
}

// suspect tells whether the server should have been heard.
func (b *backend) suspect() bool {
	b.agent.mu.Lock()
	defer b.agent.mu.Unlock()
	server := b.agent.gate.Server()
	if server.State == steer.Unknown || server.State == steer.Down {
		return false
	}
	return b.leaving || b.silence() > b.patience()
}

// check opens a connection to the server. Only a refusal shows that the server
// has ended.
func (b *backend) check(ctx context.Context) {
	a := b.agent
	dialer := net.Dialer{Timeout: checkTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", a.settings.Passthrough.Backend.String())
	if err == nil {
		_ = conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	server := a.gate.Server()
	server.State = steer.Down
	b.install(server, a.clock.now())
}

// leave announces that the agent takes no new flows and resets the flows of a
// server that has ended.
func (b *backend) leave(ctx context.Context) {
	b.check(ctx)
	a := b.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	b.stopped = true
	a.roster.Announce(a.clock.now())
	a.sender.flush()
}
