// Package relay simulates a middlebox between two processes that communicate
// directly. It relays TCP connections and UDP datagrams from listen addresses to
// targets. It can delay them, drop datagrams, cut one direction, and blackhole all
// existing connections permanently while new connections work.
package relay

import (
	"context"
	"net/http"
	"net/netip"
	"strings"

	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
	"bergamotbank/standin/link"
)

// Pair is a listen address, for TCP and UDP, and its target. Its form on the
// command line is LISTEN=TARGET.
type Pair struct {
	Listen netip.AddrPort
	Target netip.AddrPort
}

// UnmarshalText parses the form of the command line.
func (p *Pair) UnmarshalText(text []byte) error {
	listen, target, _ := strings.Cut(string(text), "=")
	var err error
	if p.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return errkind.Wrap(err, errkind.Usage, "pair %q is not IP:PORT=IP:PORT", text)
	}
	if p.Target, err = netip.ParseAddrPort(target); err != nil {
		return errkind.Wrap(err, errkind.Usage, "pair %q is not IP:PORT=IP:PORT", text)
	}
	return nil
}

// Faults is the set of fault switches of the relay. Its zero value means no
// faults.
type Faults struct {
	// OnlyListen limits the faults to these listen addresses; empty means all.
	OnlyListen []netip.AddrPort `json:"only"`
	// BlackholeGeneration permanently blackholes all existing TCP connections and
	// UDP address pairs each time the number grows.
	BlackholeGeneration int `json:"silence"`
	// CutToTarget and CutFromTarget cut one direction: TCP bytes are held back and
	// datagrams are dropped.
	CutToTarget   bool `json:"cut_to_target"`
	CutFromTarget bool `json:"cut_from_target"`
	// Refuse resets new TCP connections.
	Refuse bool `json:"refuse"`
	// Link describes the network in each direction. Only Delay applies to TCP.
	Link link.Link `json:"link"`
}

// forListen returns the faults that apply to one listen address.
func (f Faults) forListen(listen netip.AddrPort) Faults {
	if len(f.OnlyListen) == 0 {
		return f
	}
	for _, address := range f.OnlyListen {
		if address == listen {
			return f
		}
	}
	return Faults{}
}

// cut reports whether a direction is cut.
func (f Faults) cut(d direction) bool {
	if d == toTarget {
		return f.CutToTarget
	}
	return f.CutFromTarget
}

// direction is the direction in which bytes are relayed.
type direction uint8

const (
	toTarget direction = iota
	fromTarget

	directionCount
)

// Command is the subcommand that runs the relay.
type Command struct {
	Pairs   []Pair         `arg:"--pair,separate,required" help:"listen address and target for TCP and UDP; repeat for more" placeholder:"IP:PORT=IP:PORT"`
	Control netip.AddrPort `arg:"--control,required" help:"HTTP address of the fault switches" placeholder:"IP:PORT"`
	Seed    uint64         `arg:"--seed" default:"1" help:"seed of random faults"`
}

// Run relays traffic until ctx is done.
func (c *Command) Run(ctx context.Context, log *zap.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	faults := fault.NewSwitches(Faults{})
	counts := &counters{}
	var relays []*relay
	for i, pair := range c.Pairs {
		r, err := newRelay(ctx, pair, faults, counts, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		relays = append(relays, r)
	}
	for _, r := range relays {
		go r.run(ctx)
		log.Info("relay started", zap.Stringer("address", r.pair.Listen), zap.Stringer("target", r.pair.Target))
	}
	mux := http.NewServeMux()
	mux.Handle("/fault", faults)
	mux.HandleFunc("GET /fault/counters", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, counts.snapshot())
	})
	return fault.Serve(ctx, c.Control.String(), mux)
}
