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
		convey.Convey("Streams outlive ten planned changes of all other servers, "+gap.String()+" apart", t, func() {
			convey.So(brokenByChanges(flows.Options{}, 10, gap), convey.ShouldEqual, 0)
		})
	}
}

// brokenByChanges opens streams, replaces all servers that take new flows again
// and again while the first ones drain, and returns how many streams no longer
// reach their holder.
func brokenByChanges(options flows.Options, changes int, gap time.Duration) int {
	const callers = 300
	w := newWorld(40, 2, options)
	w.settle(fleet(0, 6))
	var holders [callers]int
	for caller := range callers {
		holders[caller] = w.establish(caller%2, caller)
	}
	draining := fleet(0, 6)
	for i := range draining {
		draining[i].Weight = 0
	}
	broken := make(map[int]bool)
	for change := 1; change <= changes; change++ {
		w.settle(append(fleet(4+3*change, 6+3*change), draining...))
		w.pass(gap)
		for caller, holder := range holders {
			if o := w.data(caller%2, caller, holder); !o.delivered || o.agent != holder {
				broken[caller] = true
			}
		}
	}
	return len(broken)
}

func TestHolderWithoutNews(t *testing.T) {
	convey.Convey("Streams of an agent whose view stands still outlive ten changes", t, func() {
		const callers = 100
		w := newWorld(20, 2, flows.Options{})
		w.settle(fleet(0, 0))
		for caller := range callers {
			w.establish(caller%2, caller)
		}
		broken := make(map[int]bool)
		for change := 1; change <= 10; change++ {
			servers := append(fleet(change, change), drained(0))
			for balancer := range w.balancers {
				w.steer(balancer, servers)
			}
			for _, a := range w.agents[1:] {
				a.SetServers(servers, nil, w.now)
			}
			for range 6 {
				for caller := range callers {
					if !w.data(caller%2, caller, 0).delivered {
						broken[caller] = true
					}
				}
				w.pass(time.Minute)
			}
		}
		convey.So(len(broken), convey.ShouldEqual, 0)
	})
}

func TestBalancersWithOldViews(t *testing.T) {
	convey.Convey("Flows live while one balancer keeps an old view for 10 s and agents learn late", t, func() {
		const callers = 200
		w := newWorld(9, 2, flows.Options{})
		w.settle(fleet(0, 6))
		var holders [callers]int
		for caller := range callers {
			holders[caller] = w.establish(0, caller)
		}
		w.steer(0, fleet(2, 8))
		for i, a := range w.agents {
			if i%2 == 0 {
				a.SetServers(fleet(2, 8), nil, w.now)
			}
		}
		lost := 0
		check := func() {
			for caller, holder := range holders {
				for balancer := range w.balancers {
					if o := w.data(balancer, caller, holder); !o.delivered || o.agent != holder {
						lost++
					}
				}
			}
		}
		for range 10 {
			check()
			w.pass(time.Second)
		}
		convey.So(lost, convey.ShouldEqual, 0)

		convey.Convey("and so do flows opened through the old view", func() {
			for caller := callers; caller < 2*callers; caller++ {
				holder := w.establish(1, caller)
				for balancer := range w.balancers {
					o := w.data(balancer, caller, holder)
					convey.So(o.delivered && o.agent == holder, convey.ShouldBeTrue)
				}
			}
		})
	})
}

func TestTwoAgentsAnswerOneSYN(t *testing.T) {
	convey.Convey("With two views, two agents answer one SYN", t, func() {
		w := newWorld(2, 2, flows.Options{})
		first, second := fleet(0, 0), fleet(1, 1)
		w.agents[0].SetServers(first, nil, w.now)
		w.agents[1].SetServers(second, nil, w.now)
		w.steer(0, first)
		w.steer(1, first)
		w.steer(1, second)
		for balancer := range 2 {
			o := w.send(balancer, toService(1, syn, 100, 0))
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(o.agent, convey.ShouldEqual, balancer)
			convey.So(w.answer(balancer, 1).Verdict, convey.ShouldEqual, flows.Deliver)
		}
		convey.Convey("the acknowledgement of one passes by the other, which stays silent", func() {
			o := w.data(1, 1, 0)
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(o.path, convey.ShouldResemble, []int{1, 0})
			d := w.answer(1, 1)
			convey.So(d, convey.ShouldResemble, flows.Decision{Verdict: flows.Drop, Reason: flows.ReasonSuperseded})
			o = w.send(1, toService(1, syn, 100, 0))
			convey.So(o.delivered && o.agent == 0, convey.ShouldBeTrue)
			convey.So(w.agents[0].Flows()+w.agents[1].Flows(), convey.ShouldEqual, 1)
		})
		convey.Convey("a reset of the one that was not taken never leaves", func() {
			convey.So(w.data(0, 1, 0).delivered, convey.ShouldBeTrue)
			d := w.agents[1].Outbound(toCaller(1, rst, ownISN(1)+1, 0), w.now)
			convey.So(d, convey.ShouldResemble, flows.Decision{Verdict: flows.Drop, Reason: flows.ReasonForeignReset})
			d = w.agents[0].Outbound(toCaller(1, rst, ownISN(0)+1, 0), w.now)
			convey.So(d.Verdict, convey.ShouldEqual, flows.Deliver)
		})
		convey.Convey("an old duplicate does not silence the answer", func() {
			convey.So(w.send(1, toService(1, ack, 1<<30, 9)).delivered, convey.ShouldBeFalse)
			convey.So(w.answer(1, 1).Verdict, convey.ShouldEqual, flows.Deliver)
		})
	})
}

func TestUnknownFlowsAreNeverAnswered(t *testing.T) {
	convey.Convey("A segment of a flow that nobody holds visits each agent at most once and ends", t, func() {
		w := newWorld(7, 1, flows.Options{})
		for i := range 5 {
			w.settle(fleet(i%2, i%2+5))
		}
		for caller := range 100 {
			o := w.data(0, caller, 0)
			convey.So(o.delivered, convey.ShouldBeFalse)
			convey.So(o.reason, convey.ShouldEqual, flows.ReasonNoHolder)
			seen := make(map[int]bool)
			for _, agent := range o.path {
				convey.So(seen[agent], convey.ShouldBeFalse)
				seen[agent] = true
			}
		}
		d := w.agents[0].Outbound(toCaller(1, rst, 1, 1), w.now)
		convey.So(d.Reason, convey.ShouldEqual, flows.ReasonUnknownFlow)
	})
	convey.Convey("Stale registrations that point at each other do not loop", t, func() {
		w := newWorld(2, 1, flows.Options{})
		w.settle(fleet(0, 1))
		hash := encap.FlowHash(callerAddr(1), serviceAddr)
		w.agents[0].Registered(agentAddr(1), []uint64{hash}, w.now)
		w.agents[1].Registered(agentAddr(0), []uint64{hash}, w.now)
		o := w.data(0, 1, 0)
		convey.So(o.delivered, convey.ShouldBeFalse)
		convey.So(len(o.path), convey.ShouldEqual, 2)
	})
}

func TestNewFlows(t *testing.T) {
	convey.Convey("Given two servers", t, func() {
		w := newWorld(3, 2, flows.Options{})
		w.settle(fleet(0, 1))
		caller := callerOwnedBy(steering.Build(fleet(0, 1)), 0)

		convey.Convey("a draining server passes new flows to the new owner and keeps its own", func() {
			holder := w.establish(0, caller)
			other := caller + 1
			for callerOwnedByAgent(fleet(0, 1), other) != 0 {
				other++
			}
			servers := fleet(0, 1)
			servers[0].Weight = 0
			w.agents[0].SetServers(servers, nil, w.now)
			o := w.send(0, toService(other, syn, 100, 0))
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(o.path, convey.ShouldResemble, []int{0, 1})
			convey.So(w.data(0, caller, holder).delivered, convey.ShouldBeTrue)
		})
		convey.Convey("flows live on while every server drains", func() {
			holder := w.establish(0, caller)
			w.settle([]steering.Server{drained(0), drained(1)})
			w.pass(5 * time.Minute)
			w.settle([]steering.Server{drained(0), drained(1), drained(2)})
			w.pass(time.Second)
			for balancer := range w.balancers {
				o := w.data(balancer, caller, holder)
				convey.So(o.delivered && o.agent == holder, convey.ShouldBeTrue)
				convey.So(w.send(balancer, toService(caller+1, syn, 100, 0)).delivered, convey.ShouldBeFalse)
			}
		})
		convey.Convey("a draining server without a successor drops them", func() {
			w.agents[0].SetDraining(true)
			w.agents[0].SetServers(fleet(0, 0), nil, w.now)
			convey.So(w.send(0, toService(caller, syn, 100, 0)).reason, convey.ShouldEqual, flows.ReasonDraining)
		})
		convey.Convey("an agent with another view passes a SYN on once", func() {
			w.agents[0].SetServers(fleet(1, 1), nil, w.now)
			convey.So(w.send(0, toService(caller, syn, 100, 0)).path, convey.ShouldResemble, []int{0})
			without := append(fleet(1, 1), server(0))
			without[1].Weight = 1
			w.agents[0].SetServers(without, nil, w.now)
			w.agents[1].SetServers(fleet(0, 0), nil, w.now)
			o := w.send(0, toService(caller, syn, 200, 0))
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(len(o.path), convey.ShouldBeLessThanOrEqualTo, 2)
		})
		convey.Convey("an agent with an old view and a draining one do not turn a SYN in circles", func() {
			// Agent 0, the true owner, was paused and still takes agent 1 for it.
			old := append(fleet(1, 1), server(0))
			old[1].Weight = 1
			w.agents[0].SetServers(old, nil, w.now)
			w.agents[1].SetServers(append(fleet(0, 0), drained(1)), nil, w.now)
			w.steer(0, fleet(0, 0))
			o := w.send(0, toService(caller, syn, 100, 0))
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(o.path, convey.ShouldResemble, []int{0, 1, 0})
		})
		convey.Convey("a repeated SYN of a flow held elsewhere goes to the holder", func() {
			holder := w.establish(0, caller)
			w.settle(fleet(1, 2))
			w.pass(time.Second)
			o := w.send(0, toService(caller, syn, 100, 0))
			convey.So(o.delivered && o.agent == holder, convey.ShouldBeTrue)
			convey.So(len(o.path), convey.ShouldEqual, 2)
		})
		convey.Convey("the bound of half-open flows holds and expires", func() {
			core := w.agents[0]
			for i := range flows.MaxHalfOpen + 1 {
				h := &encap.Header{}
				d := core.Inbound(toService(i, syn, 1, 0), h, w.now)
				if i == flows.MaxHalfOpen {
					convey.So(d.Reason, convey.ShouldEqual, flows.ReasonTableFull)
				}
			}
			w.pass(flows.HalfOpenTimeout + 2*time.Second)
			d := core.Inbound(toService(1, syn, 1, 0), &encap.Header{}, w.now)
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
	convey.Convey("A server that went to another service delivers nothing for the old one", t, func() {
		w := newWorld(2, 1, flows.Options{})
		w.settle(fleet(0, 0))
		holder := w.establish(0, 1)
		other := netip.MustParseAddrPort("198.18.0.11:80")
		convey.So(w.agents[0].SetService(other), convey.ShouldEqual, 1)
		for _, s := range []*encap.Segment{toService(2, syn, 100, 0), toService(1, ack, 101, ownISN(holder)+1)} {
			o := w.send(0, s)
			convey.So(o.delivered, convey.ShouldBeFalse)
			convey.So(o.reason, convey.ShouldEqual, flows.ReasonWrongService)
		}
		d := w.agents[0].Outbound(toCaller(1, ack, 1, 1), w.now)
		convey.So(d.Reason, convey.ShouldEqual, flows.ReasonUnknownFlow)
	})
}

func TestDomainOut(t *testing.T) {
	convey.Convey("Nothing is passed to or registered with a failure domain that is out", t, func() {
		w := newWorld(4, 1, flows.Options{})
		w.settle(fleet(0, 3))
		table := steering.Build(fleet(0, 3))
		held, lost := callerOwnedBy(table, 0), callerOwnedBy(table, 1)
		w.establish(0, held)
		w.establish(0, lost)
		for i, a := range w.agents {
			a.SetServers(fleet(0, 3), []string{"pasco"}, w.now)
			a.SetSuspended(i%2 == 1)
		}
		// The balancer still holds the old view.
		h := &encap.Header{HopLimit: encap.DefaultHopLimit}
		h.Visit(agentAddr(0))
		h.Add(agentAddr(1))
		o := w.sendTo(agentAddr(0), toService(lost, ack, 101, ownISN(1)+1), h)
		convey.So(o.delivered, convey.ShouldBeFalse)
		for _, agent := range o.path {
			convey.So(agent%2, convey.ShouldEqual, 0)
		}
		convey.So(w.data(0, lost, 1).reason, convey.ShouldEqual, flows.ReasonSuspended)
		convey.So(w.agents[1].Outbound(toCaller(lost, ack, 1, 1), w.now).Reason, convey.ShouldEqual, flows.ReasonSuspended)
		convey.So(w.agents[1].Flows(), convey.ShouldEqual, 0)
		convey.So(w.agents[0].Registered(agentAddr(1), []uint64{1}, w.now), convey.ShouldEqual, 1)
		convey.So(w.agents[0].Registered(agentAddr(99), []uint64{1}, w.now), convey.ShouldEqual, 1)
		convey.So(w.data(0, held, 0).delivered, convey.ShouldBeTrue)
		w.pass(time.Minute)
		for _, m := range w.agents[0].Tick(w.now) {
			convey.So(m.To, convey.ShouldNotEqual, agentAddr(1))
		}
	})
}

func TestEndOfFlows(t *testing.T) {
	convey.Convey("Given an established flow whose bucket moved", t, func() {
		w := newWorld(2, 1, flows.Options{})
		w.settle(fleet(0, 0))
		w.establish(0, 1)
		w.settle(fleet(1, 1))
		w.pass(time.Second)
		convey.So(w.agents[1].Registrations(), convey.ShouldEqual, 1)

		convey.Convey("both ends close: it is forgotten here and at the owner", func() {
			w.send(0, toService(1, fin|ack, 101, ownISN(0)+1))
			w.agents[0].Outbound(toCaller(1, fin|ack, ownISN(0)+1, 102), w.now)
			convey.So(w.data(0, 1, 0).delivered, convey.ShouldBeTrue)
			w.pass(flows.ClosingTimeout + 2*time.Second)
			convey.So(w.data(0, 1, 0).delivered, convey.ShouldBeFalse)
			convey.So(w.agents[1].Registrations(), convey.ShouldEqual, 0)
		})
		convey.Convey("a caller that reuses its port gets a new flow at the new owner", func() {
			w.agents[0].Outbound(toCaller(1, rst, ownISN(0)+1, 102), w.now)
			w.agents[0].SetServers(append(fleet(1, 1), drained(0)), nil, w.now)
			o := w.send(0, toService(1, syn, 5000, 0))
			convey.So(o.delivered, convey.ShouldBeTrue)
			convey.So(o.path, convey.ShouldResemble, []int{1, 0, 1})
			w.pass(time.Second)
			convey.So(w.agents[1].Registrations(), convey.ShouldEqual, 0)
		})
		convey.Convey("a lost release is repeated when the caller reuses its port", func() {
			w.agents[0].SetServers(append(fleet(1, 1), drained(0)), nil, w.now)
			w.agents[0].Outbound(toCaller(1, rst, ownISN(0)+1, 102), w.now)
			w.lose = func() bool { return true }
			w.pass(flows.ClosingTimeout + 2*time.Second)
			w.lose = func() bool { return false }
			convey.So(w.agents[1].Registrations(), convey.ShouldEqual, 1)
			o := w.send(0, toService(1, syn, 5000, 0))
			convey.So(o.path, convey.ShouldResemble, []int{1, 0, 1})
			w.pass(time.Second)
			convey.So(w.agents[1].Registrations(), convey.ShouldEqual, 0)
		})
		convey.Convey("a reset that the endpoint does not accept leaves it open", func() {
			w.send(0, toService(1, rst, 5000, 0))
			convey.So(w.agents[0].Flows(), convey.ShouldEqual, 0)
			w.agents[0].Outbound(toCaller(1, ack, ownISN(0)+1, 101), w.now)
			convey.So(w.agents[0].Flows(), convey.ShouldEqual, 1)
		})
		convey.Convey("an owner that starts anew learns of the flow at once", func() {
			w.agents[1] = flows.New(flows.Options{Self: agentAddr(1)})
			w.agents[1].SetService(serviceAddr)
			again := fleet(1, 1)
			again[0].Incarnation = 2
			w.settle(again)
			w.pass(time.Second)
			convey.So(w.agents[1].Registrations(), convey.ShouldEqual, 1)
		})
		convey.Convey("registrations are renewed and end with their holder", func() {
			// A view without any server, not even this one, is no knowledge.
			w.agents[0].SetServers(nil, nil, w.now)
			w.pass(2 * flows.RegistrationLifetime)
			convey.So(w.agents[1].Registrations(), convey.ShouldEqual, 1)
			w.agents[0].SetSuspended(true)
			w.pass(flows.RegistrationLifetime + 2*time.Second)
			convey.So(w.agents[1].Registrations(), convey.ShouldEqual, 0)
		})
	})
}

func TestMessagesAreDeterministic(t *testing.T) {
	convey.Convey("The same input gives the same messages", t, func() {
		var runs [2][]flows.Message
		for i := range runs {
			w := newWorld(7, 1, flows.Options{})
			w.settle(fleet(0, 0))
			for caller := range 3000 {
				w.establish(0, caller)
			}
			w.settle(append(fleet(1, 6), drained(0)))
			w.now = w.now.Add(flows.TickInterval)
			runs[i] = w.agents[0].Tick(w.now)
		}
		convey.So(len(runs[0]), convey.ShouldBeGreaterThan, 6)
		convey.So(runs[0], convey.ShouldResemble, runs[1])
	})
}

func drained(i int) steering.Server {
	s := server(i)
	s.Weight = 0
	return s
}
