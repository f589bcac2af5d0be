package passthrough

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotbank/connection/gate"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
)

const (
	// suspectAfterIntervals is the number of heartbeat intervals without a heartbeat
	// after which the agent checks the backend server by opening a connection.
	suspectAfterIntervals = 1.7
	// checkInterval is the time between such checks, each of which is billed.
	checkInterval = 500 * time.Millisecond
	// checkTimeout limits a check; the server is on the same VM.
	checkTimeout = 400 * time.Millisecond
	// startTimeTolerance is the uncertainty when the start times of the server and the
	// agent are compared by the wall clock, which may jump by seconds. If the server is
	// wrongly considered the older one, the only cost is that packets of unknown flows
	// are sent to it to find out whether it has the flow; if not, it returns them.
	startTimeTolerance = 10 * time.Second
	// maxPreviousIncarnations is the number of previous incarnations that are kept to
	// detect late heartbeats of a server that has been replaced.
	maxPreviousIncarnations = 8
)

// backendMonitor tracks the state of the agent's backend server by its heartbeats, and
// by opening connections when heartbeats are missing. Its fields are guarded by the
// agent's lock.
type backendMonitor struct {
	agent *Agent
	// started is the wall-clock time at which the agent started.
	started       time.Time
	lastHeartbeat BackendHeartbeat
	// previousIncarnations are the last incarnations before the current one.
	previousIncarnations []uint32
	lastHeartbeatAt      time.Duration
	// deregistered is true if the current server has announced that it is about to
	// stop.
	deregistered  bool
	agentStopping bool
	// Counts of heartbeats, the last three of those that were not applied.
	heartbeats, outdated, malformed, foreign uint64
}

func newBackendMonitor(a *Agent) *backendMonitor {
	return &backendMonitor{agent: a, started: time.Now()}
}

// state returns the state to announce. The caller holds the agent's lock.
func (b *backendMonitor) state(now time.Duration) steer.State {
	server := b.agent.gate.Server()
	switch {
	case server.State == steer.Down:
		return steer.Down
	case b.agentStopping:
		return steer.Draining
	case server.State == steer.Ready && b.agent.gate.Failing():
		return steer.Failing
	case server.State == steer.Ready && now < server.ColdUntil:
		return steer.Cold
	}
	return server.State
}

// Heartbeat implements HeartbeatReceiver.
func (b *backendMonitor) Heartbeat(heartbeat BackendHeartbeat) error {
	a := b.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	b.heartbeats++
	if !b.isOwn(heartbeat) {
		b.foreign++
		a.logger.Warn("heartbeat of another server refused", zap.String("server", heartbeat.ID), zap.String("service", heartbeat.Service),
			zap.Stringer("address", heartbeat.Address), zap.String("domain", heartbeat.Domain))
		return errkind.New(errkind.WrongService, "heartbeat of %q: not the backend server of this agent", heartbeat.ID)
	}
	if b.isOutdated(heartbeat) {
		b.outdated++
		a.logger.Info("outdated heartbeat ignored", zap.String("server", heartbeat.ID), zap.Uint64("sequence", heartbeat.Sequence),
			zap.Time("born", heartbeat.StartedAt))
		if b.isSameRun(heartbeat) {
			// A later heartbeat of the server has been applied.
			return nil
		}
		return errkind.New(errkind.Conflict, "heartbeat of %q: another server has replaced it", heartbeat.ID)
	}
	now := a.clock.now()
	before := a.gate.Server()
	b.lastHeartbeat, b.lastHeartbeatAt = heartbeat, now
	server := gate.Server{
		Service:       heartbeat.Service,
		Domain:        heartbeat.Domain,
		Incarnation:   incarnation(heartbeat),
		State:         steer.Ready,
		Slots:         heartbeat.Slots,
		ColdUntil:     now + heartbeat.ColdRemaining,
		PredatesAgent: before.PredatesAgent,
	}
	if before.Incarnation == 0 {
		server.PredatesAgent = heartbeat.StartedAt.Before(b.started.Add(startTimeTolerance))
	}
	if server.Incarnation != before.Incarnation {
		b.deregistered = false
		b.previousIncarnations = append(b.previousIncarnations, before.Incarnation)
		b.previousIncarnations = b.previousIncarnations[max(0, len(b.previousIncarnations)-maxPreviousIncarnations):]
	}
	if heartbeat.State == BackendDraining || b.deregistered {
		server.State = steer.Draining
	}
	b.setServer(server, now)
	return nil
}

// setServer passes the state of the server to the gate and announces it to the other
// members if it has changed. The caller holds the agent's lock.
func (b *backendMonitor) setServer(server gate.Server, now time.Duration) {
	a := b.agent
	before := a.gate.Server()
	a.gate.SetServer(server, now)
	if server.State == before.State && server.Incarnation == before.Incarnation && server.Service == before.Service {
		a.sender.flush()
		return
	}
	a.logger.Info("backend server changed", zap.String("server", b.lastHeartbeat.ID), zap.String("service", server.Service),
		zap.Stringer("state", server.State), zap.Uint32("incarnation", server.Incarnation), zap.Uint64("sequence", b.lastHeartbeat.Sequence),
		zap.Duration("cold", server.ColdUntil-now))
	if server.Service != before.Service {
		a.setSelf()
	}
	a.roster.Announce(now)
	a.sender.flush()
}

// isOwn reports whether a heartbeat is of the backend server that the settings name. One of
// another writer must not be taken for a new incarnation, which would reset all flows.
func (b *backendMonitor) isOwn(heartbeat BackendHeartbeat) bool {
	s := b.agent.settings
	return heartbeat.Service == s.Agent.Service && heartbeat.Address == s.Passthrough.Backend && heartbeat.Domain == s.Domain
}

// isSameRun reports whether a heartbeat is of the same run of the same server as the last
// one. The caller holds the agent's lock.
func (b *backendMonitor) isSameRun(heartbeat BackendHeartbeat) bool {
	return heartbeat.ID == b.lastHeartbeat.ID && heartbeat.StartedAt.Equal(b.lastHeartbeat.StartedAt)
}

// isOutdated reports whether a heartbeat is older than the last one. The caller holds the
// agent's lock. Start times are compared only while heartbeats of the last server arrive,
// since they are wall-clock times and a clock may have been set back.
func (b *backendMonitor) isOutdated(heartbeat BackendHeartbeat) bool {
	if b.isSameRun(heartbeat) {
		return heartbeat.Sequence <= b.lastHeartbeat.Sequence
	}
	if slices.Contains(b.previousIncarnations, incarnation(heartbeat)) {
		return true
	}
	return heartbeat.StartedAt.Before(b.lastHeartbeat.StartedAt) && !b.downOrOverdue()
}

// downOrOverdue reports whether the last server is down or its next heartbeat is overdue.
// The caller holds the agent's lock.
func (b *backendMonitor) downOrOverdue() bool {
	return b.agent.gate.Server().State == steer.Down || b.sinceHeartbeat() > b.heartbeatTimeout()
}

// sinceHeartbeat returns the time since the last heartbeat.
func (b *backendMonitor) sinceHeartbeat() time.Duration {
	return b.agent.clock.now() - b.lastHeartbeatAt
}

// heartbeatTimeout returns the time after which the next heartbeat is overdue.
func (b *backendMonitor) heartbeatTimeout() time.Duration {
	return time.Duration(suspectAfterIntervals * float64(b.agent.heartbeatInterval))
}

// incarnation identifies one start of a server; it is never 0.
func incarnation(heartbeat BackendHeartbeat) uint32 {
	return uint32(xxhash.Sum64String(heartbeat.ID+heartbeat.StartedAt.String())) | 1
}

// Deregister handles the announcement that the server is about to stop.
func (b *backendMonitor) Deregister(id string) {
	a := b.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if id != b.lastHeartbeat.ID {
		return
	}
	b.deregistered = true
	server := a.gate.Server()
	if server.State != steer.Down {
		server.State = steer.Draining
		b.setServer(server, a.clock.now())
	}
}

// Malformed counts and logs a heartbeat that could not be parsed.
func (b *backendMonitor) Malformed(err error) {
	b.agent.mu.Lock()
	b.malformed++
	b.agent.mu.Unlock()
	b.agent.logger.Warn("malformed heartbeat rejected", zap.Error(err))
}

// probeAtStart calls the liveness check of a server that was running before the agent,
// so that its state is known before its next heartbeat.
func (b *backendMonitor) probeAtStart(ctx context.Context) error {
	path, waiting := b.awaitingHeartbeat()
	for ; waiting && path == ""; path, waiting = b.awaitingHeartbeat() {
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
		a.logger.Warn("cannot create the liveness check request", zap.Error(err))
		return nil
	}
	response, err := client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.setInitialState(steer.Down)
		return nil
	}
	if err != nil {
		a.logger.Info("no response to the liveness check of the backend server yet", zap.Error(err))
		return nil
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		b.setInitialState(steer.Ready)
	}
	return nil
}

// awaitingHeartbeat returns the path of the liveness check, empty while it is not known,
// and whether the state of the server is still unknown.
func (b *backendMonitor) awaitingHeartbeat() (path string, waiting bool) {
	a := b.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.version != nil {
		path = a.version.Services[a.settings.Agent.Service].HealthPath
	}
	return path, a.gate.Server().State == steer.Unknown
}

// untilHeartbeat is the end of the warm-up of a server that has not said when it ends.
const untilHeartbeat = time.Duration(math.MaxInt64)

// setInitialState sets the state found by the liveness check, which applies until the
// first heartbeat. It does nothing if a heartbeat has arrived meanwhile. The check does not
// show whether the server is cold, so it is taken for cold.
func (b *backendMonitor) setInitialState(state steer.State) {
	a := b.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gate.Server().State != steer.Unknown {
		return
	}
	now := a.clock.now()
	b.lastHeartbeatAt = now
	b.setServer(gate.Server{Service: a.settings.Agent.Service, Domain: a.settings.Domain, State: state, ColdUntil: untilHeartbeat, PredatesAgent: state == steer.Ready}, now)
}

// checkWhileSuspected checks the server by opening connections while heartbeats are missing or
// the server does not accept opening packets.
func (b *backendMonitor) checkWhileSuspected(ctx context.Context) error {
	var checkedAt time.Duration
	for sleep(ctx, tickInterval) {
		if now := b.agent.clock.now(); now-checkedAt >= checkInterval && b.needsCheck(now) {
			checkedAt = now
			b.check(ctx)
		}
	}
	return nil
}

// needsCheck reports whether the next heartbeat is overdue, the server does not accept opening
// packets, or it has announced that it is about to stop.
func (b *backendMonitor) needsCheck(now time.Duration) bool {
	b.agent.mu.Lock()
	defer b.agent.mu.Unlock()
	server := b.agent.gate.Server()
	if server.State == steer.Unknown || server.State == steer.Down {
		return false
	}
	return b.deregistered || b.sinceHeartbeat() > b.heartbeatTimeout() || b.agent.gate.Suspected(now)
}

// check opens a connection to the server. Only a refused connection proves that the
// server has terminated.
func (b *backendMonitor) check(ctx context.Context) {
	a := b.agent
	dialer := net.Dialer{Timeout: checkTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", a.settings.Passthrough.Backend.String())
	if err == nil {
		_ = conn.Close()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.gate.ClearSuspicion()
		return
	case !errors.Is(err, syscall.ECONNREFUSED):
		return
	}
	server := a.gate.Server()
	server.State = steer.Down
	b.setServer(server, a.clock.now())
}

// shutDown announces that the agent accepts no new flows, passes waiting ones on and resets the
// flows of a server that has terminated.
func (b *backendMonitor) shutDown(ctx context.Context) {
	b.check(ctx)
	a := b.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	b.agentStopping = true
	a.gate.ReleaseQueue(a.clock.now())
	a.roster.Announce(a.clock.now())
	a.sender.flush()
}
