package passthrough

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/gate"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
	"bergamotbank/process/metrics"
)

// flowFields returns the log fields that identify a flow, followed by more.
func flowFields(flow passthrough.Flow, more ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.Stringer("caller", flow.Caller), zap.Stringer("service_address", flow.Service)}, more...)
}

// kindCounter counts by error kind. It is safe for concurrent use.
type kindCounter struct {
	mu    sync.Mutex
	kinds map[string]uint64
}

func (c *kindCounter) add(kind errkind.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kinds == nil {
		c.kinds = map[string]uint64{}
	}
	c.kinds[kind.String()]++
}

func (c *kindCounter) counts() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.kinds)
}

// agentObserver logs and measures the decisions of an agent's gate. Its methods are
// called with the agent's lock held.
type agentObserver struct {
	agent *Agent
	// openingLatency is the time from an opening packet to the server's response to it,
	// answerLatency that from a request to the first packet of its response.
	openingLatency, answerLatency *metrics.Latency
	// queueWait is the time that opening packets spent in the admission queue.
	queueWait *metrics.Latency
	// refusals and resets count flows by error kind.
	refusals, resets kindCounter
}

func newAgentObserver(a *Agent) *agentObserver {
	return &agentObserver{agent: a, openingLatency: metrics.NewLatency(), answerLatency: metrics.NewLatency(), queueWait: metrics.NewLatency()}
}

// log logs a message about a flow. It builds the fields only if the rate limit of the
// logger admits the message.
func (o *agentObserver) log(message string, flow passthrough.Flow, fields ...zap.Field) {
	if entry := o.agent.logger.Check(zap.InfoLevel, message); entry != nil {
		entry.Write(flowFields(flow, append(fields, revisionFields(o.agent.revision())...)...)...)
	}
}

// Opened logs an opening packet that was delivered to the server.
func (o *agentObserver) Opened(flow passthrough.Flow, frame passthrough.Frame) {
	o.log("flow opened", flow, zap.Uint16("balancer_era", frame.Version.Era()), zap.Uint64("balancer_revision", frame.Version.Index()), zap.Uint8("hops", frame.Hops),
		zap.Duration("heartbeat_age", o.agent.clock.now()-o.agent.backend.lastHeartbeatAt))
}

// Confirmed records the latency of the server's response to an opening packet.
func (o *agentObserver) Confirmed(_ passthrough.Flow, wait time.Duration) {
	o.openingLatency.Record(wait)
}

// Refused counts and logs an opening packet that was rejected.
func (o *agentObserver) Refused(flow passthrough.Flow, kind errkind.Kind, frame passthrough.Frame, passedTo passthrough.Endpoint) {
	o.refusals.add(kind)
	server := o.agent.gate.Server()
	o.log("flow refused", flow, zap.Stringer("kind", kind), zap.Stringer("passed_to", passedTo),
		zap.Uint16("balancer_era", frame.Version.Era()), zap.Uint64("balancer_revision", frame.Version.Index()), zap.Uint8("hops", frame.Hops), zap.Stringer("server_state", server.State),
		zap.Int("open_requests", o.agent.gate.OpenRequests()), zap.Duration("heartbeat_age", o.agent.clock.now()-o.agent.backend.lastHeartbeatAt))
}

// Queued logs the decision of the admission queue with which an opening packet leaves, and
// records the time in the queue.
func (o *agentObserver) Queued(flow passthrough.Flow, e gate.QueueEvent) {
	if e.Outcome == gate.Waiting {
		// The line for its outcome holds the data of its arrival.
		return
	}
	o.queueWait.Record(e.Waited)
	g := o.agent.gate
	serviceTime, _ := g.ServiceTime()
	o.log("admission queue", flow, zap.Stringer("outcome", e.Outcome), zap.Duration("waited", e.Waited), zap.Duration("expected_wait", e.Expected),
		zap.Int("ahead", e.Ahead), zap.Uint8("priority", e.Priority), zap.Bool("late", e.Late), zap.Int("waiting", g.Waiting()),
		zap.Int("pending", g.Pending()), zap.Duration("service_time", serviceTime))
}

// Reset counts and logs a flow that was reset at its caller.
func (o *agentObserver) Reset(flow passthrough.Flow, kind errkind.Kind) {
	o.resets.add(kind)
	o.log("flow reset", flow, zap.Stringer("kind", kind), zap.Stringer("server_state", o.agent.gate.Server().State))
}

// PassedOn logs a packet that was forwarded to the agent that holds its flow.
func (o *agentObserver) PassedOn(flow passthrough.Flow, kind passthrough.Kind, to passthrough.Endpoint) {
	o.log("flow passed on", flow, zap.Stringer("by", kind), zap.Stringer("passed_to", to))
}

// Searched logs a search for the holder of a flow that is not registered.
func (o *agentObserver) Searched(flow passthrough.Flow, queried int) {
	o.log("flow searched", flow, zap.Int("asked", queried), zap.Bool("settled", o.agent.viewComplete()))
}

// Adopted logs a flow that was detected from packets of the server.
func (o *agentObserver) Adopted(flow passthrough.Flow) { o.log("flow adopted", flow) }

// CheckpointReset logs that the server whose flows a checkpoint contains has terminated.
func (o *agentObserver) CheckpointReset(flows int) {
	server := o.agent.gate.Server()
	o.agent.logger.Info("backend server of the restored checkpoint has terminated", zap.Int("flows", flows), zap.Stringer("server_state", server.State),
		zap.Uint32("incarnation", server.Incarnation))
}

// Answered logs a request whose response has begun and records its latency.
func (o *agentObserver) Answered(flow passthrough.Flow, e gate.Exchange) {
	o.answerLatency.Record(e.Wait)
	o.log("request answered", flow, zap.ByteString("request", e.RequestID), zap.Duration("wait", e.Wait), zap.Int("open_requests", e.OpenRequests))
}

// Unanswered logs a request whose flow ended before a response.
func (o *agentObserver) Unanswered(flow passthrough.Flow, e gate.Exchange) {
	o.log("request unanswered", flow, zap.ByteString("request", e.RequestID), zap.Duration("wait", e.Wait), zap.Int("open_requests", e.OpenRequests),
		zap.Stringer("server_state", o.agent.gate.Server().State))
}

// logPlacement logs the server that a balancer selected for an opening packet and the
// load on which it was selected. The expected completion is 0 if it was not selected by that.
func (b *Balancer) logPlacement(flow passthrough.Flow, server *steer.Server, completion time.Duration) {
	entry := b.logger.Check(zap.InfoLevel, "flow placed")
	if entry == nil {
		return
	}
	entry.Write(flowFields(flow, zap.String("agent", server.Name), zap.String("service", server.Service), zap.String("domain", server.Domain),
		zap.Float64("work", server.MeanOpenRequests), zap.Int("flows", server.Flows), zap.Int("pending", server.Pending),
		zap.Duration("service_time", server.ServiceTime), zap.Duration("completion", completion), zap.Duration("report_age", b.clock.now()-server.ReportedAt),
		zap.Uint64("era", b.revision().Era), zap.Uint64("revision", b.revision().Index))...)
}

// logHedge logs a second opening packet with both servers.
func (b *Balancer) logHedge(flow passthrough.Flow, first, second *steer.Server, waited time.Duration) {
	if entry := b.logger.Check(zap.InfoLevel, "flow hedged"); entry != nil {
		entry.Write(flowFields(flow, zap.String("agent", first.Name), zap.String("second_agent", second.Name), zap.String("service", second.Service),
			zap.Duration("waited", waited), zap.Int("pending", second.Pending), zap.Uint64("era", b.revision().Era), zap.Uint64("revision", b.revision().Index))...)
	}
}

// logLookup logs a packet of a flow whose holder this balancer does not know.
func (b *Balancer) logLookup(flow passthrough.Flow, owner passthrough.Endpoint) {
	if entry := b.logger.Check(zap.InfoLevel, "flow looked up"); entry != nil {
		entry.Write(flowFields(flow, zap.Stringer("passed_to", owner))...)
	}
}

// logRefusal logs a flow that a balancer reset because it could not forward its packet.
func (b *Balancer) logRefusal(flow passthrough.Flow, kind errkind.Kind) {
	entry := b.logger.Check(zap.InfoLevel, "flow reset")
	if entry == nil {
		return
	}
	entry.Write(flowFields(flow, zap.Stringer("kind", kind), zap.Uint64("era", b.revision().Era), zap.Uint64("revision", b.revision().Index),
		zap.Duration("confirmed_age", b.config.confirmedAge()))...)
}
