package membership

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// waitLimit is the maximum time to wait for a condition.
const waitLimit = 20 * time.Second

// fastTiming shortens tests that run in real time.
var fastTiming = Timing{
	Heartbeat:        100 * time.Millisecond,
	HeartbeatTimeout: 700 * time.Millisecond,
	Probe:            200 * time.Millisecond,
	AckTimeout:       100 * time.Millisecond,
	Suspicion:        500 * time.Millisecond,
	Gossip:           50 * time.Millisecond,
}

func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

const (
	// firstPort is the first port of freePort. It is below the ephemeral port range.
	firstPort = 7000
	// hostsPerPort is the number of hosts that freePort uses with each port: all values
	// of the last address byte except 0 and 255.
	hostsPerPort = 254
)

// usedPorts is the number of addresses that freePort has returned.
var usedPorts atomic.Uint32

// freePort returns a UDP and TCP port on a loopback address that no other test
// uses, so that a socket bound to port 0 elsewhere cannot take it. It returns each
// address only once.
func freePort() netip.AddrPort {
	index := usedPorts.Add(1) - 1
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(212 + pid>>8%32), byte(pid), byte(1 + index%hostsPerPort)})
	return netip.AddrPortFrom(ip, uint16(firstPort+index/hostsPerPort))
}

// startNode runs a Node and its HTTP server.
func startNode(t *testing.T, name, domain string, seeds ...netip.AddrPort) (node *Node, stop func()) {
	return startNodeWith(t, name, domain, nil, seeds...)
}

func startNodeWith(
	t *testing.T, name, domain string, directory Directory, seeds ...netip.AddrPort,
) (node *Node, stop func()) {
	control := freePort()
	listener, err := net.Listen("tcp4", control.String())
	if err != nil {
		t.Fatal(err)
	}
	node, err = NewNode(NodeOptions{
		Self:      Peer{Name: name, Domain: domain, Packet: control, Control: control},
		Seeds:     seeds,
		Directory: directory,
		Domains:   func() []string { return []string{"junin", "pasco"} },
		Timing:    fastTiming,
	})
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	prefix, handler := node.Handler()
	mux.Handle(prefix, handler)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	stop = runUntilStopped(node.Run)
	t.Cleanup(func() {
		stop()
		_ = server.Close()
	})
	return node, stop
}

// runUntilStopped starts run; the returned function cancels it and waits for it.
func runUntilStopped(run func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

func startAnnouncer(t *testing.T, name, domain string, seeds ...netip.AddrPort) (announcer *Announcer, stop func()) {
	return startAnnouncerWith(t, name, domain, nil, seeds...)
}

func startAnnouncerWith(
	t *testing.T, name, domain string, directory Directory, seeds ...netip.AddrPort,
) (announcer *Announcer, stop func()) {
	announcer, err := NewAnnouncer(AnnouncerOptions{
		Self: Record{
			Server:  name,
			Service: "ordering",
			Domain:  domain,
			Packet:  netip.MustParseAddrPort("127.0.0.1:1"),
			Control: netip.MustParseAddrPort("127.0.0.1:0"),
			State:   Cold,
			Weight:  10,
		},
		Seeds:     seeds,
		Directory: directory,
		Timing:    fastTiming,
	})
	if err != nil {
		t.Fatal(err)
	}
	stop = runUntilStopped(announcer.Run)
	t.Cleanup(stop)
	return announcer, stop
}

func serverNames(view View) string {
	names := ""
	for _, record := range view.Servers {
		names += fmt.Sprintf("%s/%s/%d ", record.Server, record.State, record.Weight)
	}
	return names
}

func TestDiscoveryThroughSeeds(t *testing.T) {
	convey.Convey("Given three balancers and one agent", t, func() {
		n1, _ := startNode(t, "n1", "junin")
		n2, stopN2 := startNode(t, "n2", "pasco", n1.Addr())
		n3, _ := startNode(t, "n3", "junin", n1.Addr())
		nodes := []*Node{n1, n2, n3}
		agent, stopAgent := startAnnouncer(t, "s1", "junin", n1.Addr())

		all := func(check func(*Node) bool) func() bool {
			return func() bool {
				for _, node := range nodes {
					if !check(node) {
						return false
					}
				}
				return true
			}
		}
		convey.So(eventually(all(func(n *Node) bool {
			return n.Ready() && len(n.View().Peers) == 2 && serverNames(n.View()) == "s1/cold/10 "
		})), convey.ShouldBeTrue)
		convey.So(eventually(func() bool {
			return agent.Ready() && len(agent.Homes()) == 3 && serverNames(agent.View()) == "s1/cold/10 "
		}), convey.ShouldBeTrue)

		agent.SetState(Warm, 100)
		convey.So(eventually(all(func(n *Node) bool { return serverNames(n.View()) == "s1/warm/100 " })), convey.ShouldBeTrue)
		convey.So(eventually(func() bool { return serverNames(agent.View()) == "s1/warm/100 " }), convey.ShouldBeTrue)

		stopN2()
		nodes = []*Node{n1, n3}
		convey.So(eventually(all(func(n *Node) bool { return len(n.View().Peers) == 1 })), convey.ShouldBeTrue)
		convey.So(eventually(func() bool { return len(agent.Homes()) == 2 }), convey.ShouldBeTrue)

		stopAgent()
		convey.So(eventually(all(func(n *Node) bool { return len(n.View().Servers) == 0 })), convey.ShouldBeTrue)
	})
}

func TestLeaveRemovesServerImmediately(t *testing.T) {
	convey.Convey("A server that leaves is removed without waiting for it to become silent", t, func() {
		n1, _ := startNode(t, "n1", "junin")
		agent, _ := startAnnouncer(t, "s1", "junin", n1.Addr())
		convey.So(eventually(func() bool { return len(n1.View().Servers) == 1 && len(agent.Homes()) == 1 }), convey.ShouldBeTrue)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		agent.Leave(ctx)
		convey.So(ctx.Err(), convey.ShouldBeNil)
		convey.So(eventually(func() bool { return len(n1.View().Servers) == 0 }), convey.ShouldBeTrue)
	})
}
