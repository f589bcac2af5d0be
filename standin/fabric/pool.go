package fabric

import (
	"context"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotbank/errkind"
)

// Balancer is one balancer that packets may be sent to. On the command line it
// is NAME=IP:PORT,HEALTHURL.
type Balancer struct {
	Name string `json:"name"`
	// Packet is the UDP address that takes packets.
	Packet netip.AddrPort `json:"packet"`
	// Health is the URL that answers 200 while the balancer is well. Without
	// one the balancer always counts as alive.
	Health string `json:"health"`
}

// UnmarshalText reads the form of the command line.
func (b *Balancer) UnmarshalText(text []byte) error {
	name, rest, ok := strings.Cut(string(text), "=")
	if !ok || name == "" {
		return errkind.New(errkind.Usage, "balancer %q is not NAME=IP:PORT,HEALTHURL", text)
	}
	address, health, _ := strings.Cut(rest, ",")
	packet, err := netip.ParseAddrPort(address)
	if err != nil {
		return errkind.Wrap(err, errkind.Usage, "balancer %s", name)
	}
	*b = Balancer{Name: name, Packet: packet, Health: health}
	return nil
}

// BalancerStatus is a balancer and what the health check thinks of it.
type BalancerStatus struct {
	Balancer
	Alive bool `json:"alive"`
}

// pool holds the balancers and runs their health checks.
type pool struct {
	period time.Duration
	lag    time.Duration
	probe  prober
	log    *zap.Logger
	alive  atomic.Pointer[[]netip.AddrPort]

	mu      sync.Mutex
	members map[string]*member
}

type member struct {
	balancer Balancer
	alive    bool
	stop     context.CancelFunc
}

func newPool(period, lag time.Duration, probe prober, log *zap.Logger) *pool {
	p := &pool{period: period, lag: lag, probe: probe, log: log, members: make(map[string]*member)}
	p.alive.Store(&[]netip.AddrPort{})
	return p
}

// targets returns the packet addresses of the balancers that count as alive.
func (p *pool) targets() []netip.AddrPort {
	return *p.alive.Load()
}

// add starts to check a balancer. It replaces one of the same name.
func (p *pool) add(ctx context.Context, balancer Balancer) {
	p.remove(balancer.Name)
	checking, stop := context.WithCancel(ctx)
	m := &member{balancer: balancer, alive: balancer.Health == "", stop: stop}
	p.mu.Lock()
	p.members[balancer.Name] = m
	p.publish()
	p.mu.Unlock()
	if balancer.Health != "" {
		go p.check(checking, m)
	}
}

// remove stops sending to a balancer and tells whether there was one.
func (p *pool) remove(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[name]
	if !ok {
		return false
	}
	m.stop()
	delete(p.members, name)
	p.publish()
	return true
}

// status returns the balancers sorted by name.
func (p *pool) status() []BalancerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses := make([]BalancerStatus, 0, len(p.members))
	for _, m := range p.members {
		statuses = append(statuses, BalancerStatus{Balancer: m.balancer, Alive: m.alive})
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Name < statuses[j].Name })
	return statuses
}

// publish rebuilds the list of targets. The caller holds mu.
func (p *pool) publish() {
	targets := make([]netip.AddrPort, 0, len(p.members))
	for _, m := range p.members {
		if m.alive {
			targets = append(targets, m.balancer.Packet)
		}
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].Compare(targets[j]) < 0 })
	p.alive.Store(&targets)
}

// check asks for the health of a balancer until ctx ends. Each result counts when
// it is as old as the lag.
func (p *pool) check(ctx context.Context, m *member) {
	ticker := time.NewTicker(p.period)
	defer ticker.Stop()
	for {
		healthy := p.probe(ctx, m.balancer.Health)
		time.AfterFunc(p.lag, func() { p.setAlive(ctx, m, healthy) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *pool) setAlive(ctx context.Context, m *member, alive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil || m.alive == alive {
		return
	}
	m.alive = alive
	p.publish()
	p.log.Info("balancer health", zap.String("balancer", m.balancer.Name), zap.Bool("alive", alive))
}

// prober tells whether a balancer is well.
type prober func(ctx context.Context, url string) bool

// newProber returns a prober that asks over HTTP.
func newProber(timeout time.Duration) prober {
	client := &http.Client{Timeout: timeout}
	return func(ctx context.Context, url string) bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return false
		}
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
}
