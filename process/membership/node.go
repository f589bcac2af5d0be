package membership

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotbank/errkind"
	"bergamotbank/event"
	pb "bergamotbank/process/membership/membershippb"
)

// Clock timestamps messages with a hybrid logical clock.
type Clock interface {
	// Stamp returns a timestamp greater than all returned or observed before.
	Stamp() uint64
	// Observe advances the clock to at least the timestamp of a message.
	Observe(stamp uint64)
}

// noClock is the Clock of processes without one.
type noClock struct{}

func (noClock) Stamp() uint64  { return 0 }
func (noClock) Observe(uint64) {}

// NodeOptions are the options of a balancer's Node.
type NodeOptions struct {
	// Self is what the balancer announces about itself. The Node opens the UDP side
	// of Self.Control. Incarnation 0 is replaced by the start time in milliseconds.
	Self Peer
	// Seeds are control addresses of other balancers from the settings.
	Seeds []netip.AddrPort
	// Directory lists other balancers; nil for none.
	Directory Directory
	// Domains returns the failure domains of the configuration, whose directory
	// lists are read for other balancers; nil for the balancer's own only. An empty
	// result means that the configuration is not known yet.
	Domains func() []string
	// Recorder receives the events; nil discards them.
	Recorder event.Recorder
	// Clock timestamps the messages; nil for no timestamps.
	Clock Clock
	// Version returns the active configuration version of this process; nil for 0.
	Version func() uint64
	// OnView is called, never concurrently, after the view has changed. Changes
	// during a call are delivered as one.
	OnView func(View)
	// OnNewerVersion is called when a peer has a newer configuration version. It
	// must not block.
	OnNewerVersion func(version uint64, from Peer)
	// Timing holds the periods; zero fields take those of DefaultTiming.
	Timing Timing
}

// Node is a balancer's side of the membership protocol.
type Node struct {
	options NodeOptions
	udp     *udpEndpoint
	core    *nodeCore
	client  *http.Client

	calls         callQueue
	changed       chan struct{}
	pulls         chan netip.AddrPort
	view          atomic.Pointer[View]
	ready         atomic.Bool
	pauseDetector pauseDetector
}

// NewNode opens the UDP side of the control address. Errors are of kind
// InvalidSettings.
func NewNode(options NodeOptions) (*Node, error) {
	options.setDefaults()
	udp, err := listenUDP(options.Self.Control)
	if err != nil {
		return nil, err
	}
	options.Self.Control = udp.addr()
	if _, _, err := peerFromWire(peerToWire(options.Self, statusAlive)); err != nil {
		_ = udp.conn.Close()
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "announce balancer %q", options.Self.Name)
	}
	n := &Node{
		options: options,
		udp:     udp,
		core:    newNodeCore(options.Self, options.Seeds, options.Timing, newRandom(), time.Now()),
		client:  newHTTPClient(),
		calls:   make(callQueue, callQueueSize),
		changed: make(chan struct{}, 1),
		pulls:   make(chan netip.AddrPort, 1),
	}
	n.core.version = options.Version
	n.core.stamp = options.Clock.Stamp
	n.core.join.directoryPending = options.Directory != nil
	n.pauseDetector.threshold = n.core.timing.PauseAfter
	n.view.Store(&View{})
	return n, nil
}

func (o *NodeOptions) setDefaults() {
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	if o.Self.MaxProtocol == 0 {
		o.Self.MinProtocol, o.Self.MaxProtocol = MinProtocol, MaxProtocol
	}
	if o.Domains == nil {
		own := []string{o.Self.Domain}
		o.Domains = func() []string { return own }
	}
	if o.Recorder == nil {
		o.Recorder = event.Discard{}
	}
	if o.Clock == nil {
		o.Clock = noClock{}
	}
	if o.Version == nil {
		o.Version = func() uint64 { return 0 }
	}
	if o.OnView == nil {
		o.OnView = func(View) {}
	}
	if o.OnNewerVersion == nil {
		o.OnNewerVersion = func(uint64, Peer) {}
	}
}

// Addr returns the control address.
func (n *Node) Addr() netip.AddrPort {
	return n.options.Self.Control
}

// View returns the current snapshot. It must not be modified.
func (n *Node) View() View {
	return *n.view.Load()
}

// Ready reports whether the view is as complete as that of the other balancers.
func (n *Node) Ready() bool {
	return n.ready.Load() && !n.pauseDetector.paused(time.Now())
}

// Handler returns the twirp service for the control address.
func (n *Node) Handler() (prefix string, handler http.Handler) {
	server := pb.NewMembershipServer(&nodeService{node: n})
	return server.PathPrefix(), server
}

// Run runs the membership protocol until the context ends, then announces to the
// other balancers that this one leaves.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(n.udp.readLoop)
	group.Go(func() error { return n.coreLoop(ctx) })
	group.Go(func() error { return n.pullLoop(ctx) })
	group.Go(func() error {
		return notifyLoop(ctx, n.changed, func() { n.options.OnView(n.View()) })
	})
	if n.options.Directory != nil {
		group.Go(func() error { return n.directoryLoop(ctx) })
	}
	return group.Wait()
}

// coreLoop passes datagrams, calls and ticks to the core.
func (n *Node) coreLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.core.leave()
			n.perform()
			return errkind.Wrap(n.udp.conn.Close(), errkind.Internal, "close control socket")
		case datagram := <-n.udp.inbox:
			n.options.Clock.Observe(datagram.envelope.Stamp)
			n.core.handle(time.Now(), datagram.from, datagram.envelope)
		case call := <-n.calls:
			call()
		case <-ticker.C:
			n.pauseDetector.recordTick(time.Now())
			n.core.tick(time.Now())
		}
		n.perform()
	}
}

// perform executes the actions of the core.
func (n *Node) perform() {
	for _, a := range n.core.takeActions() {
		switch a := a.(type) {
		case sendAction:
			n.udp.send(a)
		case recordAction:
			n.options.Recorder.Record(a.event)
		case newerVersionAction:
			n.options.OnNewerVersion(a.version, a.from)
		case publishViewAction:
			view := n.core.currentView
			n.view.Store(&view)
			signal(n.changed)
		case pullAction:
			select {
			case n.pulls <- a.from:
			default:
			}
		}
	}
	n.ready.Store(n.core.join.ready)
}

// pullLoop fetches the whole state from balancers.
func (n *Node) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-n.pulls:
			ready, err := n.pull(ctx, from)
			_ = n.calls.do(ctx, func() { n.core.pullDone(time.Now(), from, ready, err) })
		}
	}
}

// pull fetches the whole state page by page. It reports whether the balancer was
// ready.
func (n *Node) pull(ctx context.Context, from netip.AddrPort) (bool, error) {
	client := newMembershipClient(n.client, from)
	request := &pb.PullRequest{Self: peerToWire(n.options.Self, statusAlive)}
	for {
		page, err := client.Pull(ctx, request)
		if err != nil {
			return false, errkind.Wrap(err, errkind.PeerUnavailable, "pull state from %v", from)
		}
		if err := n.calls.do(ctx, func() { n.core.mergePage(time.Now(), page) }); err != nil {
			return false, err
		}
		if page.Next == "" {
			return page.Ready, nil
		}
		request.Cursor = page.Next
	}
}

// nodeService serves the twirp calls of other processes.
type nodeService struct {
	node *Node
}

// Pull returns one page of the whole state.
func (s *nodeService) Pull(ctx context.Context, request *pb.PullRequest) (*pb.PullResponse, error) {
	var response *pb.PullResponse
	err := s.node.calls.do(ctx, func() {
		response = s.node.core.page(request.Cursor)
		s.node.core.mergeIntroduction(time.Now(), request.Self)
	})
	return response, err
}

// FetchView returns the live servers of some services.
func (s *nodeService) FetchView(_ context.Context, request *pb.FetchViewRequest) (*pb.FetchViewResponse, error) {
	return fetchViewResponse(s.node.View(), s.node.Ready(), request), nil
}
