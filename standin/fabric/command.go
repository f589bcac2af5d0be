// Package fabric simulates the platform's network. It accepts bare IPv4 packets
// in UDP datagrams and sends each packet for a service address to a random
// balancer that is alive according to a delayed health check. It returns
// responses to the UDP address from which an inner address was last seen. It can
// delay, drop, duplicate and reorder packets between failure domains.
package fabric

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
)

// Command is the subcommand that runs the simulated fabric.
type Command struct {
	Listen        netip.AddrPort `arg:"--listen,required" help:"UDP address for packets; the fault switches are at the same TCP address unless --control is given" placeholder:"IP:PORT"`
	Control       netip.AddrPort `arg:"--control" help:"HTTP address of the fault switches" placeholder:"IP:PORT"`
	ServicePrefix netip.Prefix   `arg:"--service-prefix" default:"198.18.0.0/16" help:"prefix of the inner addresses of services"`
	Balancers     []Balancer     `arg:"--balancer,separate" help:"a balancer; repeat for more" placeholder:"NAME=IP:PORT,HEALTHURL"`
	Topology      string         `arg:"--topology" help:"TOML file with failure domains and links" placeholder:"FILE"`
	HealthPeriod  time.Duration  `arg:"--health-period" default:"500ms" help:"interval between health checks"`
	HealthTimeout time.Duration  `arg:"--health-timeout" default:"1s" help:"time after which a health check without a response fails"`
	HealthLag     time.Duration  `arg:"--health-lag" default:"1s" help:"delay after which the result of a health check takes effect"`
	Seed          uint64         `arg:"--seed" default:"1" help:"seed of the choice of balancers and of random faults"`
}

// Run forwards packets until ctx is done.
func (c *Command) Run(ctx context.Context, log *zap.Logger) error {
	var topology Topology
	if c.Topology != "" {
		var err error
		if topology, err = ReadTopology(c.Topology); err != nil {
			return err
		}
	}
	if c.HealthPeriod <= 0 {
		return errkind.New(errkind.Usage, "--health-period %s is not positive", c.HealthPeriod)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancers := newPool(c.HealthPeriod, c.HealthLag, newProber(c.HealthTimeout), log)
	f, err := newForwarder(c.Listen, c.ServicePrefix, c.Seed, balancers, log)
	if err != nil {
		return err
	}
	switches := fault.NewSwitches(Topology{})
	switches.OnChange(func(t Topology) { f.network.Store(newNetwork(t)) })
	switches.Set(topology)
	for _, balancer := range c.Balancers {
		balancers.add(ctx, balancer)
	}
	api := &api{ctx: ctx, pool: balancers, forwarder: f, switches: switches}
	failed := make(chan error, 1)
	go func() {
		failed <- fault.Serve(ctx, c.controlAddress().String(), api.routes())
		cancel()
	}()
	log.Info("fabric started", zap.Stringer("packets", c.Listen), zap.Stringer("control", c.controlAddress()))
	err = f.run(ctx)
	cancel()
	if controlErr := <-failed; controlErr != nil {
		return controlErr
	}
	return err
}

func (c *Command) controlAddress() netip.AddrPort {
	if c.Control.IsValid() {
		return c.Control
	}
	return c.Listen
}

// api is the HTTP API of the fabric.
type api struct {
	ctx       context.Context
	pool      *pool
	forwarder *forwarder
	switches  *fault.Switches[Topology]
}

func (a *api) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/fault", a.switches)
	mux.HandleFunc("GET /fault/counters", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, a.forwarder.counters.snapshot())
	})
	mux.HandleFunc("GET /fault/traffic", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, a.forwarder.traffic.snapshot(a.forwarder.network.Load()))
	})
	mux.HandleFunc("GET /balancers", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, a.pool.status())
	})
	mux.HandleFunc("POST /balancers", a.addBalancer)
	mux.HandleFunc("DELETE /balancers/{name}", a.removeBalancer)
	return mux
}

func (a *api) addBalancer(w http.ResponseWriter, r *http.Request) {
	var balancer Balancer
	err := fault.DecodeJSON(w, r, &balancer)
	if err == nil && (balancer.Name == "" || !balancer.Packet.IsValid()) {
		err = errkind.New(errkind.Malformed, "name and packet are required")
	}
	if err != nil {
		fault.WriteError(w, err)
		return
	}
	a.pool.add(a.ctx, balancer)
	fault.WriteJSON(w, a.pool.status())
}

func (a *api) removeBalancer(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if !a.pool.remove(name) {
		fault.WriteError(w, errkind.New(errkind.NotFound, "balancer %q does not exist", name))
		return
	}
	fault.WriteJSON(w, a.pool.status())
}
