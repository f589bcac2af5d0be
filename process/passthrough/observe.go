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

// flowFields are the fields by which a flow is found in all logs.
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

// agentObserver logs and measures what an agent's gate decides. Its methods run
// with the agent's lock held.
type agentObserver struct {
	agent *Agent
	// opening and answer are the times to the server's first answers.
	opening, answer *metrics.Latency
	// refusals and resets are flows by reason.
	refusals, resets kindCounter
}

func newAgentObserver(a *Agent) *agentObserver {
	return &agentObserver{agent: a, opening: metrics.NewLatency(), answer: metrics.NewLatency()}
}

// log writes a line about a flow; the fields are built only for lines within the
// budget.
func (o *agentObserver) log(message string, flow passthrough.Flow, fields ...zap.Field) {
	if entry := o.agent.logger.Check(zap.InfoLevel, message); entry != nil {
		entry.Write(flowFields(flow, append(fields, zap.Uint64("revision", o.agent.revision()))...)...)
	}
}

// Opened logs an opening packet that went to the server.
func (o *agentObserver) Opened(flow passthrough.Flow, frame passthrough.Frame) {
	o.log("flow opened", flow, zap.Uint64("balancer_revision", frame.Version), zap.Uint8("hops", frame.Hops),
		zap.Duration("heartbeat_age", o.agent.clock.now()-o.agent.backend.heard))
}

// Confirmed measures the server's answer to an opening packet.
func (o *agentObserver) Confirmed(_ passthrough.Flow, wait time.Duration) { o.opening.Record(wait) }

// Refused logs an opening packet that was turned away.
func (o *agentObserver) Refused(flow passthrough.Flow, kind errkind.Kind, frame passthrough.Frame, passedTo passthrough.Endpoint) {
	o.refusals.add(kind)
	server := o.agent.gate.Server()
	o.log("flow refused", flow, zap.Stringer("kind", kind), zap.Stringer("passed_to", passedTo),
		zap.Uint64("balancer_revision", frame.Version), zap.Uint8("hops", frame.Hops), zap.Stringer("server_state", server.State),
		zap.Int("open_requests", o.agent.gate.OpenRequests()), zap.Duration("heartbeat_age", o.agent.clock.now()-o.agent.backend.heard))
}

// Reset logs a flow that was reset at its caller.
func (o *agentObserver) Reset(flow passthrough.Flow, kind errkind.Kind) {
	o.resets.add(kind)
	o.log("flow reset", flow, zap.Stringer("kind", kind), zap.Stringer("server_state", o.agent.gate.Server().State))
}

// PassedOn logs a packet of a flow that another agent holds.
func (o *agentObserver) PassedOn(flow passthrough.Flow, kind passthrough.Kind, to passthrough.Endpoint) {
	o.log("flow passed on", flow, zap.Stringer("by", kind), zap.Stringer("passed_to", to))
}

// Searched logs a flow whose holder nobody has registered.
func (o *agentObserver) Searched(flow passthrough.Flow, asked int) {
	o.log("flow searched", flow, zap.Int("asked", asked), zap.Bool("settled", o.agent.settled()))
}

// Adopted logs a flow that the server turned out to hold.
func (o *agentObserver) Adopted(flow passthrough.Flow) { o.log("flow adopted", flow) }

// CheckpointReset logs that the server of a checkpoint's flows has ended.
func (o *agentObserver) CheckpointReset(flows int) {
	server := o.agent.gate.Server()
	o.agent.logger.Info("server of the checkpoint has ended", zap.Int("flows", flows), zap.Stringer("server_state", server.State),
		zap.Uint32("incarnation", server.Incarnation))
}

// Answered logs and measures a request whose answer has begun.
func (o *agentObserver) Answered(flow passthrough.Flow, e gate.Exchange) {
	o.answer.Record(e.Wait)
	o.log("request answered", flow, zap.ByteString("request", e.RequestID), zap.Duration("wait", e.Wait), zap.Int("open_requests", e.OpenRequests))
}

// Unanswered logs a request whose flow ended first.
func (o *agentObserver) Unanswered(flow passthrough.Flow, e gate.Exchange) {
	o.log("request unanswered", flow, zap.ByteString("request", e.RequestID), zap.Duration("wait", e.Wait), zap.Int("open_requests", e.OpenRequests),
		zap.Stringer("server_state", o.agent.gate.Server().State))
}

// logPlacement logs where a balancer sent an opening packet and what decided it.
func (b *Balancer) logPlacement(flow passthrough.Flow, server *steer.Server) {
	entry := b.logger.Check(zap.InfoLevel, "flow placed")
	if entry == nil {
		return
	}
	entry.Write(flowFields(flow, zap.String("agent", server.Name), zap.String("service", server.Service), zap.String("domain", server.Domain),
		zap.Float64("work", server.MeanOpenRequests), zap.Int("flows", server.Flows), zap.Duration("report_age", b.clock.now()-server.ReportedAt),
		zap.Uint64("revision", b.revision()))...)
}

// logLookup logs a packet of a flow that this balancer does not know.
func (b *Balancer) logLookup(flow passthrough.Flow, owner passthrough.Endpoint) {
	if entry := b.logger.Check(zap.InfoLevel, "flow looked up"); entry != nil {
		entry.Write(flowFields(flow, zap.Stringer("passed_to", owner))...)
	}
}

// logRefusal logs a flow that a balancer could not place or carry on.
func (b *Balancer) logRefusal(flow passthrough.Flow, kind errkind.Kind) {
	entry := b.logger.Check(zap.InfoLevel, "flow reset")
	if entry == nil {
		return
	}
	entry.Write(flowFields(flow, zap.Stringer("kind", kind), zap.Uint64("revision", b.revision()),
		zap.Duration("confirmed_age", b.orders.confirmedAge()))...)
}
