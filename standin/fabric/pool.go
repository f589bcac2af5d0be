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

// Balancer is a balancer that may receive packets. Its form on the command line
// is NAME=IP:PORT,HEALTHURL.
type Balancer struct {
	Name string `json:"name"`
	// Packet is the UDP address that receives packets.
	Packet netip.AddrPort `json:"packet"`
	// Health is the URL that responds with 200 while the balancer is healthy. A
	// balancer without this URL always counts as alive.
	Health string `json:"health"`
}

// UnmarshalText parses the form of the command line.
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

// BalancerStatus is a balancer and the result of its health check.
type BalancerStatus struct {
	Balancer
	Alive bool `json:"alive"`
}

// pool holds the balancers and runs their health checks.
type pool struct {
	interval     time.Duration
	lag          time.Duration
	probe        prober
	log          *zap.Logger
	aliveTargets atomic.Pointer[[]netip.AddrPort]

	mu      sync.Mutex
	members map[string]*member
}

type member struct {
	balancer Balancer
	alive    bool
	stop     context.CancelFunc
}

func newPool(period, lag time.Duration, probe prober, log *zap.Logger) *pool {
	p := &pool{interval: period, lag: lag, probe: probe, log: log, members: make(map[string]*member)}
	p.aliveTargets.Store(&[]netip.AddrPort{})
	return p
}

// targets returns the packet addresses of the balancers that count as alive.
func (p *pool) targets() []netip.AddrPort {
	return *p.aliveTargets.Load()
}

// add adds a balancer and starts its health checks. It replaces a balancer of the
// same name.
func (p *pool) add(ctx context.Context, balancer Balancer) {
	p.remove(balancer.Name)
	checkCtx, stop := context.WithCancel(ctx)
	m := &member{balancer: balancer, alive: balancer.Health == "", stop: stop}
	p.mu.Lock()
	p.members[balancer.Name] = m
	p.updateTargets()
	p.mu.Unlock()
	if balancer.Health != "" {
		go p.checkHealth(checkCtx, m)
	}
}

// remove stops sending to a balancer and reports whether it existed.
func (p *pool) remove(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[name]
	if !ok {
		return false
	}
	m.stop()
	delete(p.members, name)
	p.updateTargets()
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

// updateTargets rebuilds the list of targets. The calling function holds mu.
func (p *pool) updateTargets() {
	targets := make([]netip.AddrPort, 0, len(p.members))
	for _, m := range p.members {
		if m.alive {
			targets = append(targets, m.balancer.Packet)
		}
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].Compare(targets[j]) < 0 })
	p.aliveTargets.Store(&targets)
}

// checkHealth probes a balancer until ctx is done. Each result takes effect after
// the lag.
func (p *pool) checkHealth(ctx context.Context, m *member) {
	ticker := time.NewTicker(p.interval)
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
	p.updateTargets()
	p.log.Info("balancer health changed", zap.String("balancer", m.balancer.Name), zap.Bool("alive", alive))
}

// prober reports whether a balancer is healthy.
type prober func(ctx context.Context, url string) bool

// newProber returns a prober that uses HTTP.
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
