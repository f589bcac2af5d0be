package steer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/version/routes"
)

const (
	// meanWork is the mean work of a request; longRequests is the share of those that take
	// seven times as long.
	meanWork      = 55 * time.Millisecond
	longRequests  = 0.03
	latencyTarget = 400 * time.Millisecond
	// reportEvery and reportDelay make reports 50 to 500 ms old when they are used.
	reportEvery = 450 * time.Millisecond
	reportDelay = 50 * time.Millisecond
	loadedSlots = 4
)

// loadedServer is a backend server with a queue: the times at which its slots become free, and
// the ends of its pending requests.
type loadedServer struct {
	Server
	speed      float64
	free, ends []time.Duration
	busy       time.Duration
}

// serve adds a request and returns its latency.
func (s *loadedServer) serve(now, work time.Duration) time.Duration {
	slot := slices.Index(s.free, slices.Min(s.free))
	work = time.Duration(float64(work) * s.speed)
	s.free[slot] = max(now, s.free[slot]) + work
	s.ends = append(s.ends, s.free[slot])
	s.busy += work
	return s.free[slot] - now
}

// pending returns the number of pending requests.
func (s *loadedServer) pending(now time.Duration) int {
	s.ends = slices.DeleteFunc(s.ends, func(end time.Duration) bool { return end <= now })
	return len(s.ends)
}

// report returns the report of a server that arrives after reportDelay.
func (s *loadedServer) report(now time.Duration) Server {
	s.ReportedAt = now + reportDelay
	if s.HasLoad {
		s.Pending, s.ServiceTime = s.pending(now), time.Duration(float64(meanWork)*s.speed)
	}
	return s.Server
}

// loadedService is a stream of arrivals at 22 balancers of unequal weight and 45 servers of
// three speeds, in three failure domains.
type loadedService struct {
	random    *rand.Rand
	now       time.Duration
	servers   []*loadedServer
	balancers []*Router
	// arrivals lists the balancers by weight.
	arrivals []int
	reports  []Server
	placedAt *loadedServer
}

func newLoadedService(seed uint64, target time.Duration, hasLoad func(server int) bool) *loadedService {
	l := &loadedService{random: rand.New(rand.NewPCG(seed, 0))}
	for i := range 45 {
		s := &loadedServer{Server: readyServer(i, domainOf(i)), speed: [...]float64{0.6, 1, 1.6}[i/3%3], free: make([]time.Duration, loadedSlots)}
		s.Slots, s.HasLoad = loadedSlots, hasLoad(i)
		l.servers = append(l.servers, s)
	}
	version := versionWithout()
	version.Routes[ordersAddress.AddrPort()] = &routes.Route{LatencyTarget: target, Targets: []routes.Target{{Service: "orders", Weight: 1}}}
	for b := range 22 {
		r := New(Options{
			Format: passthroughtest.Format{}, Domain: domainOf(b), Sender: discardSender{}, Now: func() time.Duration { return l.now },
			OnPlacement: func(_ passthrough.Flow, s *Server, _ time.Duration) {
				l.placedAt = l.servers[slices.IndexFunc(l.servers, func(o *loadedServer) bool { return o.Agent == s.Agent })]
			},
		})
		r.random = rand.New(rand.NewPCG(seed, uint64(b)+1))
		r.SetVersion(version)
		for _, s := range l.servers {
			r.SetServer(s.report(-reportEvery))
		}
		l.balancers = append(l.balancers, r)
		l.arrivals = append(l.arrivals, slices.Repeat([]int{b}, 1+b%4)...)
	}
	return l
}

// all is true for every server and for every balancer.
func all(int) bool { return true }

// run plays arrivals at a utilisation of the service, at the balancers that may receive them. It
// returns the shares of requests past the target and in the domain of their balancer.
func (l *loadedService) run(d time.Duration, utilisation float64, receives func(balancer int) bool) (late, local float64) {
	const step = time.Millisecond
	slotsByWork := 15 * loadedSlots * (1/0.6 + 1 + 1/1.6)
	perStep := utilisation * slotsByWork * step.Seconds() / meanWork.Seconds()
	arrivals := slices.DeleteFunc(slices.Clone(l.arrivals), func(b int) bool { return !receives(b) })
	count := 0.0
	for end := l.now + d; l.now < end; l.now += step {
		l.exchangeReports(step)
		for expected := perStep; expected > 0; expected-- {
			if l.random.Float64() >= expected {
				continue
			}
			b := arrivals[l.random.IntN(len(arrivals))]
			work := time.Duration((0.5 + l.random.Float64()) * float64(meanWork) / (1 + 6*longRequests))
			if l.random.Float64() < longRequests {
				work *= 7
			}
			l.open(b)
			count++
			if l.placedAt.serve(l.now, work) > latencyTarget {
				late++
			}
			if l.placedAt.Domain == domainOf(b) {
				local++
			}
		}
	}
	return late / count, local / count
}

// open opens a flow at a balancer.
func (l *loadedService) open(balancer int) {
	source := passthrough.MakeEndpoint(l.random.Uint32(), 1024)
	l.balancers[balancer].HandlePacket(passthroughtest.Framed(passthrough.Segment{Source: source, Target: ordersAddress, Flags: passthrough.Open}))
}

// exchangeReports updates the mean of open requests, sends the reports that are due and delivers
// those that were sent reportDelay ago.
func (l *loadedService) exchangeReports(step time.Duration) {
	for i, s := range l.servers {
		// More than two requests per slot wait at the agent and are not open.
		const window = 1500 * time.Millisecond
		s.MeanOpenRequests += (float64(min(s.pending(l.now), 2*loadedSlots)) - s.MeanOpenRequests) * float64(step) / float64(window)
		if (l.now+time.Duration(i)*reportEvery/45)%reportEvery < step {
			l.reports = append(l.reports, s.report(l.now))
		}
	}
	for len(l.reports) > 0 && l.reports[0].ReportedAt <= l.now {
		for _, b := range l.balancers {
			b.UpdateLoad(l.reports[0])
		}
		l.reports = l.reports[1:]
	}
}

// imbalance returns the highest utilisation of a server over the mean weighted by speed.
func (l *loadedService) imbalance(d time.Duration) float64 {
	highest, work, capacity := 0.0, 0.0, 0.0
	for _, s := range l.servers {
		utilisation := s.busy.Seconds() / d.Seconds() / loadedSlots
		highest = max(highest, utilisation)
		work += utilisation / s.speed
		capacity += 1 / s.speed
		s.busy = 0
	}
	return highest / (work / capacity)
}

// TestThreeSpeeds guards the latency of a service with servers of different speed: the score
// fills slots equally, so the slow servers determine the latency, while balancers that see the
// same idle fast server could overload it.
func TestThreeSpeeds(t *testing.T) {
	for name, hasLoad := range map[string]func(int) bool{"all servers report it": all, "two of five agents are of an earlier build": func(i int) bool { return i%5 > 1 }} {
		convey.Convey("At 70% load, at most half of the requests past the target remain if "+name, t, func() {
			for seed := range uint64(2) {
				late := map[time.Duration]float64{}
				for _, target := range []time.Duration{0, latencyTarget} {
					l := newLoadedService(seed, target, hasLoad)
					l.run(3*time.Second, 0.7, all)
					l.imbalance(time.Second)
					late[target], _ = l.run(30*time.Second, 0.7, all)
					imbalance := l.imbalance(30 * time.Second)
					t.Logf("seed %d, target %v, %s: %.4f late, utilisation %.3f times the mean", seed, target, name, late[target], imbalance)
					if target > 0 {
						convey.So(imbalance, convey.ShouldBeLessThanOrEqualTo, 1.15)
					}
				}
				convey.So(late[latencyTarget], convey.ShouldBeLessThanOrEqualTo, late[0]/2)
			}
		})
	}
}

// TestDemandMovesBetweenDomains guards against a domain whose queue grows while others are idle,
// and against demand that swings between domains.
func TestDemandMovesBetweenDomains(t *testing.T) {
	convey.Convey("Given demand for 55% of the service that moves between the domains", t, func() {
		l := newLoadedService(1, latencyTarget, all)
		for _, domain := range []int{0, 1, 0} {
			for i := range 16 {
				late, local := l.run(250*time.Millisecond, 0.55, func(b int) bool { return b%3 == domain })
				convey.So(late, convey.ShouldBeLessThan, 2*longRequests)
				if i > 3 {
					convey.So(local, convey.ShouldBeBetween, 1.0/3-0.15, 1.0/3+0.15)
				}
			}
		}
	})
}

// TestBalancerWithoutReports guards against a balancer that sends all its flows to the servers
// that were idle when the reports stopped.
func TestBalancerWithoutReports(t *testing.T) {
	convey.Convey("A balancer whose last reports are old spreads its flows by its own placements", t, func() {
		l := newLoadedService(1, latencyTarget, all)
		l.now = time.Minute
		counts := map[*loadedServer]int{}
		for range 45 * 10 {
			l.open(0)
			counts[l.placedAt]++
		}
		for _, s := range l.servers {
			convey.So(counts[s], convey.ShouldBeBetween, 0, 3*10)
		}
	})
	convey.Convey("If no agent reports its load, flows of a route with a target are placed as those of one without", t, func() {
		var placed [2][]*loadedServer
		for i, target := range []time.Duration{0, latencyTarget} {
			l := newLoadedService(1, target, func(int) bool { return false })
			for range 1000 {
				l.run(time.Millisecond, 0.7, all)
				placed[i] = append(placed[i], l.placedAt)
			}
		}
		convey.So(len(placed[0]), convey.ShouldEqual, 1000)
		for i, s := range placed[1] {
			convey.So(s.Agent == placed[0][i].Agent, convey.ShouldBeTrue)
		}
	})
}

// TestExpectedCompletion compares two servers of the own domain of which one differs, and one
// of another domain. All three are candidates of each choice.
func TestExpectedCompletion(t *testing.T) {
	const near, other, far = 0, 1, 2
	for _, c := range []struct {
		name   string
		change func(servers []Server)
		want   int
	}{
		{"the faster one", func(s []Server) { s[other].ServiceTime = 28 * time.Millisecond }, other},
		{"a slow one if the others have a queue", func(s []Server) {
			s[near].Pending, s[far].Pending, s[other].ServiceTime = 9, 9, 75*time.Millisecond
		}, other},
		{"not a slow one if the wait elsewhere is short", func(s []Server) {
			s[near].Pending, s[far].Pending, s[other].ServiceTime = 1, 4, 75*time.Millisecond
		}, near},
		{"not one with an unknown service time before an equal idle one", func(s []Server) {
			s[other].ServiceTime, s[other].Pending, s[far].Pending = 0, 2, 2
		}, near},
		{"another domain once the own queue grows", func(s []Server) { s[near].Pending, s[other].Pending = 2, 2 }, far},
		{"not a cold one", func(s []Server) { s[near].State, s[far].Pending = Cold, 2 }, other},
		{"a failing one last", func(s []Server) {
			s[near].State, s[far].State, s[other].Pending = Failing, Failing, 200
		}, other},
		{"one of an earlier build by its open requests", func(s []Server) {
			s[near].Pending, s[far].Pending, s[other].HasLoad, s[other].ServiceTime = 4, 4, false, 0
		}, other},
		{"not one that had a long queue some time ago", func(s []Server) {
			for i := range s {
				s[i].ReportedAt, s[i].MeanOpenRequests, s[i].Pending = -300*time.Millisecond, 8, 8
			}
			s[other].Pending, s[far].MeanOpenRequests = 40, 12
		}, near},
		{"not one that is much busier than the others, though its queue is short just now", func(s []Server) {
			s[near].MeanOpenRequests, s[far].Pending = 4, 2
		}, other},
	} {
		convey.Convey("Chosen is "+c.name, t, func() {
			r := newTestRouter()
			servers := []Server{readyServer(near, "junin"), readyServer(other, "junin"), readyServer(far, "pasco")}
			for i := range servers {
				servers[i].Slots, servers[i].HasLoad, servers[i].ServiceTime = loadedSlots, true, 47*time.Millisecond
			}
			c.change(servers)
			for _, s := range servers {
				r.SetServer(s)
			}
			for range 50 {
				convey.So(r.choose("orders", nil, (*Router).randomizedCompletion).Agent, convey.ShouldEqual, agentAddress(c.want))
			}
		})
	}
}

// TestPlacementsSinceReport guards against counting a request twice or not at all: a report does
// not contain the requests that were placed just before it arrived.
func TestPlacementsSinceReport(t *testing.T) {
	convey.Convey("Placements count until a report arrives that is younger by reportTransit", t, func() {
		var p placements
		for i := range 6 {
			p.add(time.Second + time.Duration(i)*5*time.Millisecond)
		}
		convey.So(p.count, convey.ShouldEqual, 6)
		p.reported(time.Second + 26*time.Millisecond)
		convey.So(p.count, convey.ShouldEqual, 2)
		p.reported(time.Second + 28*time.Millisecond)
		convey.So(p.count, convey.ShouldEqual, 2)
		p.reported(2 * time.Second)
		convey.So(p.count, convey.ShouldEqual, 0)
	})
}
