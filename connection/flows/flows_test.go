package flows_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/encap"
	"bergamotbank/connection/flows"
	"bergamotbank/version/steering"
)

func TestFlowSurvivesTenChanges(t *testing.T) {
	for _, gap := range []time.Duration{time.Second, 2 * flows.RecentWindow} {
		convey.Convey("Flows survive ten planned changes of all other servers, "+gap.String()+" apart", t, func() {
			convey.So(countBrokenFlows(flows.Options{}, 10, gap), convey.ShouldEqual, 0)
		})
	}
}

// countBrokenFlows opens flows, replaces all servers that accept new flows several
// times while the first ones drain, and returns how many flows had a segment that
// did not reach their holder.
func countBrokenFlows(options flows.Options, changes int, gap time.Duration) int {
	const callers = 300
	c := newTestCluster(40, 2, options)
	c.setServers(serverRange(0, 6))
	var holders [callers]int
	for caller := range callers {
		holders[caller] = c.establish(caller%2, caller)
	}
	draining := serverRange(0, 6)
	for i := range draining {
		draining[i].Weight = 0
	}
	broken := make(map[int]bool)
	for change := 1; change <= changes; change++ {
		c.setServers(append(serverRange(4+3*change, 6+3*change), draining...))
		c.advance(gap)
		for caller, holder := range holders {
			if o := c.sendData(caller%2, caller, holder); !o.delivered || o.agent != holder {
				broken[caller] = true
			}
		}
	}
	return len(broken)
}

func TestHolderWithStaleView(t *testing.T) {
	convey.Convey("Flows of an agent whose view is not updated survive ten changes", t, func() {
		const callers = 100
		c := newTestCluster(20, 2, flows.Options{})
		c.setServers(serverRange(0, 0))
		for caller := range callers {
			c.establish(caller%2, caller)
		}
		broken := make(map[int]bool)
		for change := 1; change <= 10; change++ {
			servers := append(serverRange(change, change), drainingServer(0))
			for balancer := range c.balancers {
				c.setBalancerServers(balancer, servers)
			}
			for _, a := range c.agents[1:] {
				a.SetServers(servers, nil, c.now)
			}
			for range 6 {
				for caller := range callers {
					if !c.sendData(caller%2, caller, 0).delivered {
						broken[caller] = true
					}
				}
				c.advance(time.Minute)
			}
		}
		convey.So(len(broken), convey.ShouldEqual, 0)
	})
}

func TestBalancersWithOldViews(t *testing.T) {
	convey.Convey("Flows survive while one balancer and half of the agents keep an old view for 10 s", t, func() {
		const callers = 200
		c := newTestCluster(9, 2, flows.Options{})
		c.setServers(serverRange(0, 6))
		var holders [callers]int
		for caller := range callers {
			holders[caller] = c.establish(0, caller)
		}
		c.setBalancerServers(0, serverRange(2, 8))
		for i, a := range c.agents {
			if i%2 == 0 {
				a.SetServers(serverRange(2, 8), nil, c.now)
			}
		}
		lost := 0
		check := func() {
			for caller, holder := range holders {
				for balancer := range c.balancers {
					if o := c.sendData(balancer, caller, holder); !o.delivered || o.agent != holder {
						lost++
					}
				}
			}
		}
		for range 10 {
			check()
			c.advance(time.Second)
		}
		convey.So(lost, convey.ShouldEqual, 0)

		convey.Convey("flows opened through the old view survive too", func() {
			for caller := callers; caller < 2*callers; caller++ {
				holder := c.establish(1, caller)
				for balancer := range c.balancers {
					o := c.sendData(balancer, caller, holder)
					convey.So(o.delivered && o.agent == holder, convey.ShouldBeTrue)
				}
			}
		})
	})
}

func TestTwoAgentsAnswerOneSYN(t *testing.T) {
	convey.Convey("With different views, two agents answer one SYN", t, func() {
		c := newTestCluster(2, 2, flows.Options{})
		first, second := serverRange(0, 0), serverRange(1, 1)
		c.agents[0].SetServers(first, nil, c.now)
		c.agents[1].SetServers(second, nil, c.now)
		c.setBalancerServers(0, first)
		c.setBalancerServers(1, first)
		c.setBalancerServers(1, second)
		for balancer := range 2 {
			o := c.send(balancer, toService(1, syn, 100, 0))
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(o.agent, convey.ShouldEqual, balancer)
			convey.So(c.sendSYNACK(balancer, 1).Verdict, convey.ShouldEqual, flows.Deliver)
		}
		convey.Convey("the other agent forwards the acknowledgement and sends no further SYN-ACK", func() {
			o := c.sendData(1, 1, 0)
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(o.path, convey.ShouldResemble, []int{1, 0})
			d := c.sendSYNACK(1, 1)
			convey.So(d, convey.ShouldResemble, flows.Decision{Verdict: flows.Drop, Reason: flows.ReasonSuperseded})
			o = c.send(1, toService(1, syn, 100, 0))
			convey.So(o.delivered && o.agent == 0, convey.ShouldBeTrue)
			convey.So(c.agents[0].Flows()+c.agents[1].Flows(), convey.ShouldEqual, 1)
		})
		convey.Convey("only the agent whose SYN-ACK was acknowledged can send a reset", func() {
			convey.So(c.sendData(0, 1, 0).delivered, convey.ShouldBeTrue)
			d := c.agents[1].Outbound(toCaller(1, rst, agentISN(1)+1, 0), c.now)
			convey.So(d, convey.ShouldResemble, flows.Decision{Verdict: flows.Drop, Reason: flows.ReasonForeignReset})
			d = c.agents[0].Outbound(toCaller(1, rst, agentISN(0)+1, 0), c.now)
			convey.So(d.Verdict, convey.ShouldEqual, flows.Deliver)
		})
		convey.Convey("an old duplicate segment does not suppress the SYN-ACK", func() {
			convey.So(c.send(1, toService(1, ack, 1<<30, 9)).delivered, convey.ShouldBeFalse)
			convey.So(c.sendSYNACK(1, 1).Verdict, convey.ShouldEqual, flows.Deliver)
		})
	})
}

func TestUnknownFlowsAreDropped(t *testing.T) {
	convey.Convey("A segment of a flow that no agent holds visits each agent at most once and is dropped", t, func() {
		c := newTestCluster(7, 1, flows.Options{})
		for i := range 5 {
			c.setServers(serverRange(i%2, i%2+5))
		}
		for caller := range 100 {
			o := c.sendData(0, caller, 0)
			convey.So(o.delivered, convey.ShouldBeFalse)
			convey.So(o.reason, convey.ShouldEqual, flows.ReasonNoHolder)
			seen := make(map[int]bool)
			for _, agent := range o.path {
				convey.So(seen[agent], convey.ShouldBeFalse)
				seen[agent] = true
			}
		}
		d := c.agents[0].Outbound(toCaller(1, rst, 1, 1), c.now)
		convey.So(d.Reason, convey.ShouldEqual, flows.ReasonUnknownFlow)
	})
	convey.Convey("Stale registrations that point at each other cause no forwarding loop", t, func() {
		c := newTestCluster(2, 1, flows.Options{})
		c.setServers(serverRange(0, 1))
		hash := encap.FlowHash(callerAddr(1), serviceAddr)
		c.agents[0].HandleRegistration(agentAddr(1), []uint64{hash}, c.now)
		c.agents[1].HandleRegistration(agentAddr(0), []uint64{hash}, c.now)
		o := c.sendData(0, 1, 0)
		convey.So(o.delivered, convey.ShouldBeFalse)
		convey.So(len(o.path), convey.ShouldEqual, 2)
	})
}

func TestNewFlows(t *testing.T) {
	convey.Convey("Given two servers", t, func() {
		c := newTestCluster(3, 2, flows.Options{})
		c.setServers(serverRange(0, 1))
		caller := callerOwnedBy(steering.Build(serverRange(0, 1)), 0)

		convey.Convey("a draining server forwards new flows to the new owner and keeps its flows", func() {
			holder := c.establish(0, caller)
			other := caller + 1
			for callerOwnedByAgent(serverRange(0, 1), other) != 0 {
				other++
			}
			servers := serverRange(0, 1)
			servers[0].Weight = 0
			c.agents[0].SetServers(servers, nil, c.now)
			o := c.send(0, toService(other, syn, 100, 0))
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(o.path, convey.ShouldResemble, []int{0, 1})
			convey.So(c.sendData(0, caller, holder).delivered, convey.ShouldBeTrue)
		})
		convey.Convey("flows survive while every server drains", func() {
			holder := c.establish(0, caller)
			c.setServers([]steering.Server{drainingServer(0), drainingServer(1)})
			c.advance(5 * time.Minute)
			c.setServers([]steering.Server{drainingServer(0), drainingServer(1), drainingServer(2)})
			c.advance(time.Second)
			for balancer := range c.balancers {
				o := c.sendData(balancer, caller, holder)
				convey.So(o.delivered && o.agent == holder, convey.ShouldBeTrue)
				convey.So(c.send(balancer, toService(caller+1, syn, 100, 0)).delivered, convey.ShouldBeFalse)
			}
		})
		convey.Convey("a draining server drops new flows if no server can accept them", func() {
			c.agents[0].SetDraining(true)
			c.agents[0].SetServers(serverRange(0, 0), nil, c.now)
			convey.So(c.send(0, toService(caller, syn, 100, 0)).reason, convey.ShouldEqual, flows.ReasonDraining)
		})
		convey.Convey("an agent with another view forwards a SYN once", func() {
			c.agents[0].SetServers(serverRange(1, 1), nil, c.now)
			convey.So(c.send(0, toService(caller, syn, 100, 0)).path, convey.ShouldResemble, []int{0})
			lowWeight := append(serverRange(1, 1), server(0))
			lowWeight[1].Weight = 1
			c.agents[0].SetServers(lowWeight, nil, c.now)
			c.agents[1].SetServers(serverRange(0, 0), nil, c.now)
			o := c.send(0, toService(caller, syn, 200, 0))
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(len(o.path), convey.ShouldBeLessThanOrEqualTo, 2)
		})
		convey.Convey("an agent with an old view and a draining one cause no forwarding loop of a SYN", func() {
			// Agent 0 is the owner. It was paused, and in its old view agent 1 is.
			old := append(serverRange(1, 1), server(0))
			old[1].Weight = 1
			c.agents[0].SetServers(old, nil, c.now)
			c.agents[1].SetServers(append(serverRange(0, 0), drainingServer(1)), nil, c.now)
			c.setBalancerServers(0, serverRange(0, 0))
			o := c.send(0, toService(caller, syn, 100, 0))
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(o.path, convey.ShouldResemble, []int{0, 1, 0})
		})
		convey.Convey("a retransmitted SYN of a flow that another agent holds goes to the holder", func() {
			holder := c.establish(0, caller)
			c.setServers(serverRange(1, 2))
			c.advance(time.Second)
			o := c.send(0, toService(caller, syn, 100, 0))
			convey.So(o.delivered && o.agent == holder, convey.ShouldBeTrue)
			convey.So(len(o.path), convey.ShouldEqual, 2)
		})
		convey.Convey("half-open flows are limited and expire", func() {
			core := c.agents[0]
			for i := range flows.MaxHalfOpen + 1 {
				h := &encap.Header{}
				d := core.Inbound(toService(i, syn, 1, 0), h, c.now)
				if i == flows.MaxHalfOpen {
					convey.So(d.Reason, convey.ShouldEqual, flows.ReasonTableFull)
				}
			}
			c.advance(flows.HalfOpenTimeout + 2*time.Second)
			d := core.Inbound(toService(1, syn, 1, 0), &encap.Header{}, c.now)
			convey.So(d.Verdict, convey.ShouldEqual, flows.Deliver)
		})
	})
}

func callerOwnedByAgent(servers []steering.Server, caller int) int {
	table := steering.Build(servers)
	index, _ := table.Lookup(encap.FlowHash(callerAddr(caller), serviceAddr))
	for i := range servers {
		if servers[i].Addr == table.Server(index).Addr {
			return i
		}
	}
	return -1
}

func TestServiceAddress(t *testing.T) {
	convey.Convey("A server that moved to another service delivers nothing for the old one", t, func() {
		c := newTestCluster(2, 1, flows.Options{})
		c.setServers(serverRange(0, 0))
		holder := c.establish(0, 1)
		other := netip.MustParseAddrPort("198.18.0.11:80")
		convey.So(c.agents[0].SetService(other), convey.ShouldEqual, 1)
		for _, s := range []*encap.Segment{toService(2, syn, 100, 0), toService(1, ack, 101, agentISN(holder)+1)} {
			o := c.send(0, s)
			convey.So(o.delivered, convey.ShouldBeFalse)
			convey.So(o.reason, convey.ShouldEqual, flows.ReasonWrongService)
		}
		d := c.agents[0].Outbound(toCaller(1, ack, 1, 1), c.now)
		convey.So(d.Reason, convey.ShouldEqual, flows.ReasonUnknownFlow)
	})
}

func TestDomainOut(t *testing.T) {
	convey.Convey("Nothing is forwarded to or registered with a failure domain that is out of service", t, func() {
		c := newTestCluster(4, 1, flows.Options{})
		c.setServers(serverRange(0, 3))
		table := steering.Build(serverRange(0, 3))
		inService, outOfService := callerOwnedBy(table, 0), callerOwnedBy(table, 1)
		c.establish(0, inService)
		c.establish(0, outOfService)
		for i, a := range c.agents {
			a.SetServers(serverRange(0, 3), []string{"pasco"}, c.now)
			a.SetSuspended(i%2 == 1)
		}
		// The balancer still has the old view.
		h := &encap.Header{HopLimit: encap.DefaultHopLimit}
		h.Visit(agentAddr(0))
		h.Add(agentAddr(1))
		o := c.sendTo(agentAddr(0), toService(outOfService, ack, 101, agentISN(1)+1), h)
		convey.So(o.delivered, convey.ShouldBeFalse)
		for _, agent := range o.path {
			convey.So(agent%2, convey.ShouldEqual, 0)
		}
		convey.So(c.sendData(0, outOfService, 1).reason, convey.ShouldEqual, flows.ReasonSuspended)
		convey.So(c.agents[1].Outbound(toCaller(outOfService, ack, 1, 1), c.now).Reason, convey.ShouldEqual, flows.ReasonSuspended)
		convey.So(c.agents[1].Flows(), convey.ShouldEqual, 0)
		convey.So(c.agents[0].HandleRegistration(agentAddr(1), []uint64{1}, c.now), convey.ShouldEqual, 1)
		convey.So(c.agents[0].HandleRegistration(agentAddr(99), []uint64{1}, c.now), convey.ShouldEqual, 1)
		convey.So(c.sendData(0, inService, 0).delivered, convey.ShouldBeTrue)
		c.advance(time.Minute)
		for _, m := range c.agents[0].Tick(c.now) {
			convey.So(m.To, convey.ShouldNotEqual, agentAddr(1))
		}
	})
}

func TestFlowTermination(t *testing.T) {
	convey.Convey("Given an established flow whose owner changed", t, func() {
		c := newTestCluster(2, 1, flows.Options{})
		c.setServers(serverRange(0, 0))
		c.establish(0, 1)
		c.setServers(serverRange(1, 1))
		c.advance(time.Second)
		convey.So(c.agents[1].Registrations(), convey.ShouldEqual, 1)

		convey.Convey("it is removed at the holder and at the owner when both ends close", func() {
			c.send(0, toService(1, fin|ack, 101, agentISN(0)+1))
			c.agents[0].Outbound(toCaller(1, fin|ack, agentISN(0)+1, 102), c.now)
			convey.So(c.sendData(0, 1, 0).delivered, convey.ShouldBeTrue)
			c.advance(flows.ClosingTimeout + 2*time.Second)
			convey.So(c.sendData(0, 1, 0).delivered, convey.ShouldBeFalse)
			convey.So(c.agents[1].Registrations(), convey.ShouldEqual, 0)
		})
		convey.Convey("a caller that reuses its port opens a new flow at the new owner", func() {
			c.agents[0].Outbound(toCaller(1, rst, agentISN(0)+1, 102), c.now)
			c.agents[0].SetServers(append(serverRange(1, 1), drainingServer(0)), nil, c.now)
			o := c.send(0, toService(1, syn, 5000, 0))
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(o.path, convey.ShouldResemble, []int{1, 0, 1})
			c.advance(time.Second)
			convey.So(c.agents[1].Registrations(), convey.ShouldEqual, 0)
		})
		convey.Convey("a lost release is sent again when the caller reuses its port", func() {
			c.agents[0].SetServers(append(serverRange(1, 1), drainingServer(0)), nil, c.now)
			c.agents[0].Outbound(toCaller(1, rst, agentISN(0)+1, 102), c.now)
			c.dropMessage = func() bool { return true }
			c.advance(flows.ClosingTimeout + 2*time.Second)
			c.dropMessage = func() bool { return false }
			convey.So(c.agents[1].Registrations(), convey.ShouldEqual, 1)
			o := c.send(0, toService(1, syn, 5000, 0))
			convey.So(o.path, convey.ShouldResemble, []int{1, 0, 1})
			c.advance(time.Second)
			convey.So(c.agents[1].Registrations(), convey.ShouldEqual, 0)
		})
		convey.Convey("it stays open after a reset that the TCP endpoint rejects", func() {
			c.send(0, toService(1, rst, 5000, 0))
			convey.So(c.agents[0].Flows(), convey.ShouldEqual, 0)
			c.agents[0].Outbound(toCaller(1, ack, agentISN(0)+1, 101), c.now)
			convey.So(c.agents[0].Flows(), convey.ShouldEqual, 1)
		})
		convey.Convey("it is registered at once with an owner that restarts", func() {
			c.agents[1] = flows.New(flows.Options{Self: agentAddr(1)})
			c.agents[1].SetService(serviceAddr)
			restarted := serverRange(1, 1)
			restarted[0].Incarnation = 2
			c.setServers(restarted)
			c.advance(time.Second)
			convey.So(c.agents[1].Registrations(), convey.ShouldEqual, 1)
		})
		convey.Convey("registrations are renewed and expire after their holder is suspended", func() {
			// An empty list, without even this server, keeps the previous servers.
			c.agents[0].SetServers(nil, nil, c.now)
			c.advance(2 * flows.RegistrationLifetime)
			convey.So(c.agents[1].Registrations(), convey.ShouldEqual, 1)
			c.agents[0].SetSuspended(true)
			c.advance(flows.RegistrationLifetime + 2*time.Second)
			convey.So(c.agents[1].Registrations(), convey.ShouldEqual, 0)
		})
	})
}

func TestMessagesAreDeterministic(t *testing.T) {
	convey.Convey("The same input produces the same messages", t, func() {
		var runs [2][]flows.Message
		for i := range runs {
			c := newTestCluster(7, 1, flows.Options{})
			c.setServers(serverRange(0, 0))
			for caller := range 3000 {
				c.establish(0, caller)
			}
			c.setServers(append(serverRange(1, 6), drainingServer(0)))
			c.now = c.now.Add(flows.TickInterval)
			runs[i] = c.agents[0].Tick(c.now)
		}
		convey.So(len(runs[0]), convey.ShouldBeGreaterThan, 6)
		convey.So(runs[0], convey.ShouldResemble, runs[1])
	})
}

func drainingServer(i int) steering.Server {
	s := server(i)
	s.Weight = 0
	return s
}
