package membership

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotbank/errkind"
	"bergamotbank/event"
	pb "bergamotbank/process/membership/membershippb"
)

// AnnouncerOptions are the options of an agent's Announcer.
type AnnouncerOptions struct {
	// Self is the record of the backend server. The Announcer opens the UDP side of
	// Self.Control. Incarnation 0 is replaced by the start time in milliseconds.
	Self Record
	// Seeds are control addresses of balancers from the settings.
	Seeds []netip.AddrPort
	// Directory lists balancers; nil for none.
	Directory Directory
	// Domains returns the failure domains of the configuration, whose lists are
	// read when that of the agent's own failure domain is empty; nil for none.
	Domains func() []string
	// Recorder receives the events; nil discards them.
	Recorder event.Recorder
	// Clock timestamps the messages; nil for no timestamps.
	Clock Clock
	// Version returns the active configuration version of this process; nil for 0.
	Version func() uint64
	// OnView is called, never concurrently, after the view of the needed services
	// and the homes has changed.
	OnView func(View)
	// OnNewerVersion is called when a balancer has a newer configuration version.
	// It must not block.
	OnNewerVersion func(version uint64, from Peer)
	// DependsOn returns the services that the agent needs besides its own; nil
	// for none.
	DependsOn func() []string
	// Timing holds the periods; zero fields take those of DefaultTiming.
	Timing Timing
}

// Announcer is an agent's side of the membership protocol.
type Announcer struct {
	options AnnouncerOptions
	udp     *udpEndpoint
	core    *agentCore
	client  *http.Client

	calls         callQueue
	changed       chan struct{}
	fetches       chan fetchAction
	directory     chan struct{}
	left          chan struct{}
	leftOnce      sync.Once
	view          atomic.Pointer[View]
	homes         atomic.Pointer[[]Peer]
	ready         atomic.Bool
	pauseDetector pauseDetector
}

// NewAnnouncer opens the UDP side of the control address. Errors are of kind
// InvalidSettings.
func NewAnnouncer(options AnnouncerOptions) (*Announcer, error) {
	options.setDefaults()
	udp, err := listenUDP(options.Self.Control)
	if err != nil {
		return nil, err
	}
	options.Self.Control = udp.addr()
	if err := validateSelf(options.Self); err != nil {
		_ = udp.conn.Close()
		return nil, err
	}
	a := &Announcer{
		options:   options,
		udp:       udp,
		core:      newAgentCore(options.Self, options.Seeds, options.Timing, newRandom(), time.Now()),
		client:    newHTTPClient(),
		calls:     make(callQueue, callQueueSize),
		changed:   make(chan struct{}, 1),
		fetches:   make(chan fetchAction, 1),
		directory: make(chan struct{}, 1),
		left:      make(chan struct{}),
	}
	a.core.version = options.Version
	a.core.stamp = options.Clock.Stamp
	a.pauseDetector.threshold = a.core.timing.PauseAfter
	a.view.Store(&View{})
	a.homes.Store(&[]Peer{})
	return a, nil
}

func (o *AnnouncerOptions) setDefaults() {
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	if o.Self.MaxProtocol == 0 {
		o.Self.MinProtocol, o.Self.MaxProtocol = MinProtocol, MaxProtocol
	}
	if o.Domains == nil {
		o.Domains = func() []string { return nil }
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
	if o.DependsOn == nil {
		o.DependsOn = func() []string { return nil }
	}
}

// Addr returns the control address.
func (a *Announcer) Addr() netip.AddrPort {
	return a.options.Self.Control
}

// View returns the current snapshot of the needed services and the homes. It
// must not be modified.
func (a *Announcer) View() View {
	return *a.view.Load()
}

// Ready reports whether the view has been fetched since the start or the last
// pause of the process.
func (a *Announcer) Ready() bool {
	return a.ready.Load() && !a.pauseDetector.paused(time.Now())
}

// Homes returns the current home balancers.
func (a *Announcer) Homes() []Peer {
	return *a.homes.Load()
}

// SetState announces a state and a weight immediately and repeats it until the
// homes have acknowledged it.
func (a *Announcer) SetState(state State, weight uint16) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = a.calls.enqueue(ctx, func() { a.core.setState(time.Now(), state, weight) })
}

// Leave announces that the server leaves and waits until the homes have
// acknowledged it or the context ends. No heartbeats are sent afterwards.
func (a *Announcer) Leave(ctx context.Context) {
	_ = a.calls.do(ctx, func() { a.core.leave(time.Now()) })
	select {
	case <-a.left:
	case <-ctx.Done():
	}
}

// Run announces the server until the context ends.
func (a *Announcer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(a.udp.readLoop)
	group.Go(func() error { return a.udp.closeOnDone(ctx) })
	group.Go(func() error { return a.coreLoop(ctx) })
	group.Go(func() error { return a.fetchLoop(ctx) })
	group.Go(func() error {
		return notifyLoop(ctx, a.changed, func() { a.options.OnView(a.View()) })
	})
	group.Go(func() error { return a.directoryLoop(ctx) })
	return group.Wait()
}

// coreLoop passes datagrams, calls and ticks to the core.
func (a *Announcer) coreLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case datagram := <-a.udp.inbox:
			a.options.Clock.Observe(datagram.envelope.Stamp)
			a.core.handle(time.Now(), datagram.from, datagram.envelope)
		case call := <-a.calls:
			call()
		case <-ticker.C:
			a.pauseDetector.recordTick(time.Now())
			a.core.setDependsOn(a.options.DependsOn())
			a.core.tick(time.Now())
		}
		a.perform()
	}
}

// perform executes the actions of the core.
func (a *Announcer) perform() {
	for _, act := range a.core.takeActions() {
		switch act := act.(type) {
		case sendAction:
			a.udp.send(act)
		case recordAction:
			a.options.Recorder.Record(act.event)
		case newerVersionAction:
			a.options.OnNewerVersion(act.version, act.from)
		case publishViewAction:
			view := a.core.view()
			a.view.Store(&view)
			signal(a.changed)
		case fetchAction:
			a.startFetch(act)
		case readDirectoryAction:
			signal(a.directory)
		}
	}
	homes := a.core.homePeers()
	a.homes.Store(&homes)
	a.ready.Store(a.core.fetched)
	if a.core.leaveAcknowledged() {
		a.leftOnce.Do(func() { close(a.left) })
	}
}

// startFetch starts a fetch; the core retries if one is still running.
func (a *Announcer) startFetch(fetch fetchAction) {
	select {
	case a.fetches <- fetch:
	default:
		a.core.fetching = false
	}
}

// fetchLoop fetches the view of the needed services.
func (a *Announcer) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case fetch := <-a.fetches:
			response, err := a.fetch(ctx, fetch)
			_ = a.calls.do(ctx, func() { a.core.fetchDone(time.Now(), response, err) })
		}
	}
}

func (a *Announcer) fetch(ctx context.Context, fetch fetchAction) (*pb.FetchViewResponse, error) {
	request := &pb.FetchViewRequest{Services: fetch.services, Buckets: fetch.buckets}
	response, err := newMembershipClient(a.client, fetch.from).FetchView(ctx, request)
	return response, errkind.Wrap(err, errkind.PeerUnavailable, "fetch view from %v", fetch.from)
}

// directoryLoop reads the directory when no home replies.
func (a *Announcer) directoryLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.directory:
			a.readDirectory(ctx)
		}
	}
}

func (a *Announcer) readDirectory(ctx context.Context) {
	if a.options.Directory == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, domain := range append([]string{a.options.Self.Domain}, a.options.Domains()...) {
		peers, err := a.options.Directory.Read(ctx, domain)
		if err != nil {
			return
		}
		if len(peers) > 0 {
			_ = a.calls.do(ctx, func() { a.core.addContacts(controlAddrs(peers)) })
			return
		}
	}
}
