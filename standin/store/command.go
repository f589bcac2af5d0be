// Package store simulates the platform's key-value service in memory. It implements
// a subset of the Consul HTTP API: compare-and-swap by ModifyIndex, sessions as
// leases, blocking queries as watches, lists and transactions. It counts calls,
// limits their rates and has fault switches at /fault.
package store

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"bergamotbank/standin/fault"
)

// Command is the subcommand that runs the service.
type Command struct {
	Listen          netip.AddrPort `arg:"--listen,required" help:"address of the HTTP API and the fault switches" placeholder:"IP:PORT"`
	WritesPerSecond int            `arg:"--writes-per-second" default:"300" help:"writes per second above which writes are rejected with status 429"`
	ReadsPerSecond  int            `arg:"--reads-per-second" default:"2000" help:"reads per second above which reads are rejected with status 429; a watch counts as one read"`
	Seed            uint64         `arg:"--seed" default:"1" help:"seed of random faults"`
}

// Run serves the API until ctx is done.
func (c *Command) Run(ctx context.Context, log *zap.Logger) error {
	h := newHandler(c)
	go h.service.expire(ctx)
	log.Info("store started", zap.Stringer("address", c.Listen))
	return fault.Serve(ctx, c.Listen.String(), h.routes())
}

func newHandler(c *Command) *handler {
	h := &handler{
		service:    newService(time.Now),
		counters:   &counters{started: time.Now()},
		faults:     fault.NewSwitches(Faults{}),
		staller:    newWatchStaller(),
		sampler:    newFaultSampler(c.Seed),
		readLimit:  rate.NewLimiter(rate.Limit(c.ReadsPerSecond), c.ReadsPerSecond),
		writeLimit: rate.NewLimiter(rate.Limit(c.WritesPerSecond), c.WritesPerSecond),
	}
	h.faults.OnChange(func(f Faults) {
		h.service.setStale(f.StaleReads)
		h.staller.apply(f)
	})
	return h
}
