package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/hedge"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// newReportedService returns a stream of arrivals at balancers that draw servers and send second
// opening packets. Requests for
// reports are counted and answered at once.
func newReportedService(seed uint64, target time.Duration, requests *int) *loadedService {
	l := newLoadedService(seed, target, all)
	for _, r := range l.balancers {
		r.hedger = hedge.New(0.1)
		r.options.RequestReport = func(agent passthrough.Endpoint) {
			*requests++
			server := r.byAgent[agent].Server
			server.ReportedAt = l.now
			r.UpdateLoad(server)
		}
	}
	return l
}

// TestPreviewHasNoSideEffect guards against previews that share state with the router: the
// choices for later flows would depend on whether an operator has asked.
func TestPreviewHasNoSideEffect(t *testing.T) {
	for _, target := range []time.Duration{0, latencyTarget} {
		convey.Convey("Balancers decide the same whether they are asked or not, with the target "+target.String(), t, func() {
			var asked, unasked int
			a, b := newReportedService(1, target, &asked), newReportedService(1, target, &unasked)
			caller := passthrough.MakeEndpoint(0x64400001, 1024)
			opening := passthrough.Segment{Source: caller, Target: ordersAddress, Flags: passthrough.Open}
			for _, l := range []*loadedService{a, b} {
				l.balancers[0].HandlePacket(passthroughtest.Framed(opening))
			}
			for step := range 40 {
				a.run(20*time.Millisecond, 0.7, all)
				b.run(20*time.Millisecond, 0.7, all)
				for i, r := range a.balancers {
					// Rotations move the holders of unused flows to the older generation.
					r.Tick(time.Duration(step) * holderRetention / 30)
					b.balancers[i].Tick(time.Duration(step) * holderRetention / 30)
					r.Preview(ordersAddress, 0)
					r.Preview(ordersAddress, caller)
					r.Preview(ordersAddress.WithPort(1), caller)
				}
			}
			convey.So(asked, convey.ShouldBeGreaterThan, 0)
			convey.So(asked, convey.ShouldEqual, unasked)
			for i, r := range a.balancers {
				same := b.balancers[i]
				convey.So(r.counters, convey.ShouldResemble, same.counters)
				convey.So(r.random.Uint64(), convey.ShouldEqual, same.random.Uint64())
				convey.So(r.randomBits, convey.ShouldEqual, same.randomBits)
				convey.So(r.now, convey.ShouldEqual, same.now)
				convey.So(r.holders, convey.ShouldResemble, same.holders)
				convey.So(r.lookups, convey.ShouldResemble, same.lookups)
				convey.So(r.byAgent, convey.ShouldResemble, same.byAgent)
				convey.So(r.services, convey.ShouldResemble, same.services)
				convey.So(r.loads, convey.ShouldResemble, same.loads)
				convey.So(r.draws, convey.ShouldResemble, same.draws)
				convey.So(r.roundTrips, convey.ShouldResemble, same.roundTrips)
				convey.So(r.hedger, convey.ShouldResemble, same.hedger)
			}
		})
	}
}

// TestPreviewIsTheDecision guards against previews that decide otherwise than opening packets.
func TestPreviewIsTheDecision(t *testing.T) {
	for _, target := range []time.Duration{0, latencyTarget} {
		convey.Convey("With the same random numbers a flow goes where its preview says, with the target "+target.String(), t, func() {
			requests := 0
			l := newReportedService(2, target, &requests)
			source := rand.NewPCG(3, 3)
			r := l.balancers[4]
			r.random = rand.New(source)
			sent := &sentFrame{}
			r.options.Sender = sent
			found := map[Basis]int{}
			for i := range 300 {
				l.run(time.Duration(i%20)*time.Millisecond, 0.6, all)
				if i%50 == 0 {
					delete(r.draws, "orders")
				}
				// Without the round trips the trial would prefer servers of this domain.
				r.roundTripTo("junin").estimate = 40 * time.Millisecond
				opening := passthrough.Segment{Source: passthrough.MakeEndpoint(0x64400001, uint16(1024+i/2)), Target: ordersAddress, Flags: passthrough.Open}
				trial := r.newTrial(opening.FromCaller(), r.version.Route(ordersAddress.AddrPort()))
				random := *source
				trial.router.random = rand.New(&random)
				preview := trial.open()
				r.HandlePacket(passthroughtest.Framed(opening))
				convey.So(preview.Choice, convey.ShouldEqual, sent.to)
				convey.So(preview.RunnerUp, convey.ShouldEqual, sent.frame.Alternate)
				if preview.Basis != BasisHeld {
					convey.So(preview.Servers[0].Agent, convey.ShouldEqual, preview.Choice)
					convey.So(preview.Servers[0].Compared, convey.ShouldBeTrue)
				}
				found[preview.Basis]++
			}
			convey.So(found[BasisHeld], convey.ShouldEqual, 150)
			convey.So(found[BasisDrawn], convey.ShouldBeGreaterThan, 0)
			convey.So(found[BasisSampled], convey.ShouldBeGreaterThan, 0)
		})
	}
}

// sentFrame records the last frame that was sent.
type sentFrame struct {
	frame passthrough.Frame
	to    passthrough.Endpoint
}

func (s *sentFrame) Send(datagram []byte, to passthrough.Endpoint) {
	s.to = to
	_, _ = passthrough.ParseFrame(datagram, &s.frame)
}

func TestPreviewOfRefusalsAndShares(t *testing.T) {
	convey.Convey("Without a version callers get no response", t, func() {
		p := New(Options{Format: passthroughtest.Format{}}).Preview(ordersAddress, 0)
		convey.So(p.Refusal, convey.ShouldResemble, &Refusal{Kind: errkind.NotInForce})
	})
	convey.Convey("Given a route to two services of which one has a server", t, func() {
		r := New(Options{Domain: "junin", Format: passthroughtest.Format{}, Sender: discardSender{}})
		version := versionWithout("pasco")
		version.Routes[ordersAddress.AddrPort()] = &routes.Route{Targets: []routes.Target{{Service: "orders", Weight: 3}, {Service: "none", Weight: 1}, {Service: "unused"}}}
		r.SetVersion(version)
		r.SetServer(readyServer(0, "junin"))
		r.SetServer(readyServer(1, "pasco"))
		silent := readyServer(2, "junin")
		silent.Reachable = false
		r.SetServer(silent)
		convey.Convey("an address without a route is reset at the first packet", func() {
			p := r.Preview(ordersAddress.WithPort(1), 0)
			convey.So(p.Refusal, convey.ShouldResemble, &Refusal{Kind: errkind.NotFound, Reset: true})
		})
		convey.Convey("each service has its share, and excluded servers a reason", func() {
			p := r.Preview(ordersAddress, 0)
			convey.So(p.Services, convey.ShouldHaveLength, 2)
			orders, none := p.Services[0], p.Services[1]
			convey.So([]float64{orders.Share, none.Share}, convey.ShouldResemble, []float64{0.75, 0.25})
			convey.So(orders.Choice, convey.ShouldEqual, agentAddress(0))
			convey.So(orders.RunnerUp, convey.ShouldEqual, passthrough.Endpoint(0))
			convey.So(orders.Basis, convey.ShouldEqual, BasisSampled)
			var excluded []string
			for _, s := range orders.Servers {
				excluded = append(excluded, s.Excluded)
			}
			convey.So(excluded, convey.ShouldResemble, []string{"", "domain out of service", "unreachable"})
			convey.So(none.Refusal, convey.ShouldResemble, &Refusal{Kind: errkind.BackendUnavailable, Reset: true, Copy: 2})
		})
		convey.Convey("a route without a service with a weight gets no server", func() {
			version.Routes[ordersAddress.AddrPort()].Targets = []routes.Target{{Service: "unused"}, {Service: "unused"}}
			convey.So(r.Preview(ordersAddress, 0).Refusal, convey.ShouldResemble, &Refusal{Kind: errkind.BackendUnavailable, Reset: true, Copy: 2})
		})
		convey.Convey("with a caller only the service of its flow is previewed", func() {
			for port := range uint16(20) {
				caller := passthrough.MakeEndpoint(0x64400001, 1024+port)
				picked := version.Route(ordersAddress.AddrPort()).Pick(passthrough.Flow{Caller: caller, Service: ordersAddress}.Hash())
				p := r.Preview(ordersAddress, caller)
				convey.So(p.Services, convey.ShouldHaveLength, 1)
				convey.So(p.Services[0].Service, convey.ShouldEqual, picked)
			}
		})
	})
}
