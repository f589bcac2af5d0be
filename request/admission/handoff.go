package admission

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/request/backend"
	"bergamotbank/request/handoff"
	"bergamotbank/request/limit"
)

// picker makes a handoff.Picker safe for concurrent use.
type picker struct {
	mu    sync.Mutex // guards inner
	inner *handoff.Picker
}

func newPicker() *picker {
	return &picker{inner: handoff.NewPicker()}
}

func (p *picker) received() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.Received()
}

func (p *picker) choose(peers []handoff.Peer, own bool) (handoff.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.Keep(peers)
	return p.inner.Choose(peers, own, time.Now(), rand.IntN)
}

func (p *picker) refused(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.Refused(name, time.Now())
}

func (p *picker) taken(name, room string) {
	count, err := strconv.Atoi(room)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.Taken(name, count, time.Now())
}

// siblings returns the other agents of the service; nil while not known.
func (g *Gate) siblings() []Sibling {
	if g.options.Siblings == nil {
		return []Sibling{}
	}
	return g.options.Siblings()
}

// chooseSibling returns the sibling to hand a request to.
func (g *Gate) chooseSibling() (Sibling, bool) {
	byName := make(map[string]Sibling)
	var peers []handoff.Peer
	for _, s := range g.siblings() {
		if s.Server == g.options.Server || s.State == limit.Draining {
			continue
		}
		byName[s.Server] = s
		peers = append(peers, handoff.Peer{Name: s.Server, Weight: s.Weight})
	}
	seen := g.seen.Load()
	own := !seen.paused && !g.draining.Load()
	chosen, ok := g.picker.choose(peers, own)
	return byName[chosen.Name], ok
}

// canHandOff tells whether a request refused for that reason may run elsewhere.
func (x *exchange) canHandOff(reason errkind.Kind) bool {
	switch reason {
	case errkind.Overloaded, errkind.DeadlineTooClose, errkind.Draining, errkind.BackendUnavailable:
		return x.origin.hops < handoff.MaxHops && time.Now().Before(x.deadline)
	default:
		return false
	}
}

// avoidFailing hands a request off when the own backend server takes nothing at
// present, and tells whether that settled it. Otherwise the request can wait here.
func (x *exchange) avoidFailing() bool {
	if !x.gate.seen.Load().paused {
		return false
	}
	return x.handOff(errkind.New(errkind.BackendUnavailable, "the backend server takes no requests at present"))
}

// handOff gives a request that was not run to a sibling, and tells whether that
// settled it. When it did not, the request is still not run.
func (x *exchange) handOff(reason error) bool {
	if !x.canHandOff(errkind.Of(reason)) {
		return false
	}
	sibling, ok := x.gate.chooseSibling()
	if !ok {
		return false
	}
	x.gate.counters.handedOff.Add(1)
	x.gate.record(event.RequestHandedOff, x.id, sibling.Server, errkind.Of(reason).String())
	ctx, stop := x.context()
	defer stop()
	answer, err := backend.NewClient(sibling.Control.String()).Do(ctx, x.handOffRequest(), x.send)
	if err != nil {
		return x.handOffLost(ctx, sibling, err)
	}
	defer answer.Close()
	x.stopTimer()
	if disclaimed(answer.Response) {
		x.gate.picker.refused(sibling.Server)
		x.refuse(reason)
		return true
	}
	x.gate.picker.taken(sibling.Server, answer.Response.Header.Get(headerRoom))
	x.pass(answer, limit.Sample{})
	return true
}

// disclaimed tells whether the sibling promises that the request was not run.
func disclaimed(resp *http.Response) bool {
	return resp.Header.Get(HeaderError) != "" && resp.Header.Get(HeaderTry) == errkind.NotExecuted.String()
}

// handOffLost ends a hand-off without an answer. Before the first byte the
// request is as it was; after it, nobody knows.
func (x *exchange) handOffLost(ctx context.Context, sibling Sibling, err error) bool {
	x.gate.picker.refused(sibling.Server)
	err = x.refine(ctx, err)
	if errkind.Is(err, errkind.BackendUnavailable) {
		return false
	}
	x.fail(err)
	return true
}

// refuse tells the caller that a request which a sibling has disclaimed was not
// run.
func (x *exchange) refuse(reason error) {
	x.mu.Lock()
	verdict := x.state.Disclaim(errkind.Of(reason))
	x.mu.Unlock()
	x.conclude(verdict, reason)
}

func (x *exchange) handOffRequest() *http.Request {
	out := x.outgoing()
	uri := x.r.URL.RequestURI()
	out.URL = &url.URL{Path: handOffPath}
	out.Header.Set(headerURI, uri)
	out.Header.Set(headerHops, strconv.Itoa(x.origin.hops+1))
	if x.permit != nil || x.origin.claimed {
		out.Header.Set(headerClaimed, headerTrue)
	}
	return out
}

// serveHandOff serves a request that a sibling has handed on.
func (g *Gate) serveHandOff(w http.ResponseWriter, r *http.Request) {
	target, err := url.ParseRequestURI(r.Header.Get(headerURI))
	hops, hopsErr := strconv.Atoi(r.Header.Get(headerHops))
	if err != nil || hopsErr != nil || hops < 1 || hops > handoff.MaxHops {
		x := &exchange{gate: g, w: w, r: r, id: g.nextID()}
		x.fail(errkind.New(errkind.Malformed, "hand-off of %q with hops %q", r.Header.Get(headerURI), r.Header.Get(headerHops)))
		return
	}
	from := origin{hops: hops, claimed: r.Header.Get(headerClaimed) == headerTrue}
	inner := r.Clone(r.Context())
	inner.URL = target
	g.serve(w, inner, from)
}
