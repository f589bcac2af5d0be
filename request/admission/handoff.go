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

func (p *picker) recordRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.RecordRequest()
}

func (p *picker) choose(peers []handoff.Peer, ownAvailable bool) (handoff.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.Retain(peers)
	return p.inner.Choose(peers, ownAvailable, time.Now(), rand.IntN)
}

func (p *picker) recordRefused(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.RecordRefused(name, time.Now())
}

func (p *picker) recordAccepted(name, freeSlots string) {
	count, err := strconv.Atoi(freeSlots)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.RecordAccepted(name, count, time.Now())
}

// siblings returns the agents given by Options.Siblings, or nil while they are not
// known.
func (g *Gate) siblings() []Sibling {
	if g.options.Siblings == nil {
		return []Sibling{}
	}
	return g.options.Siblings()
}

// chooseSibling returns the sibling to hand a request off to.
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
	current := g.snapshot.Load()
	ownAvailable := !current.paused && !g.draining.Load()
	chosen, ok := g.picker.choose(peers, ownAvailable)
	return byName[chosen.Name], ok
}

// canHandOff reports whether a request refused for the given reason may be run by
// a sibling.
func (x *exchange) canHandOff(reason errkind.Kind) bool {
	switch reason {
	case errkind.Overloaded, errkind.DeadlineTooClose, errkind.Draining, errkind.BackendUnavailable:
		return x.origin.hops < handoff.MaxHops && time.Now().Before(x.deadline)
	default:
		return false
	}
}

// handOffIfPaused hands the request off if requests to the agent's own backend
// server are paused. It reports whether the request is finished; if not, it can be
// queued here.
func (x *exchange) handOffIfPaused() bool {
	if !x.gate.snapshot.Load().paused {
		return false
	}
	return x.handOff(errkind.New(errkind.BackendUnavailable, "the backend server takes no requests at present"))
}

// handOff hands off to a sibling a request that was not run. It reports whether the
// request is finished; if not, it has still not been run.
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
	response, err := backend.NewClient(sibling.Control.String()).Do(ctx, x.handOffRequest(), x.send)
	if err != nil {
		return x.handOffFailed(ctx, sibling, err)
	}
	defer response.Close()
	x.stopTimer()
	if confirmsNotRun(response.Response) {
		x.gate.picker.recordRefused(sibling.Server)
		x.refuse(reason)
		return true
	}
	x.gate.picker.recordAccepted(sibling.Server, response.Response.Header.Get(headerFreeSlots))
	x.forwardResponse(response, limit.Sample{})
	return true
}

// confirmsNotRun reports whether a sibling's response guarantees that the request
// was not run.
func confirmsNotRun(resp *http.Response) bool {
	return resp.Header.Get(HeaderError) != "" && resp.Header.Get(HeaderTry) == errkind.NotExecuted.String()
}

// handOffFailed handles a hand-off without a response and reports whether the
// request is finished. If no byte was sent, the request was not run and can still
// fail for its original reason; otherwise its outcome is unknown.
func (x *exchange) handOffFailed(ctx context.Context, sibling Sibling, err error) bool {
	x.gate.picker.recordRefused(sibling.Server)
	err = x.wrapContextError(ctx, err)
	if errkind.Is(err, errkind.BackendUnavailable) {
		return false
	}
	x.fail(err)
	return true
}

// refuse reports to the caller that the request was not run, after a sibling has
// confirmed it.
func (x *exchange) refuse(reason error) {
	x.mu.Lock()
	failure := x.state.FailNotRun(errkind.Of(reason))
	x.mu.Unlock()
	x.reportFailure(failure, reason)
}

func (x *exchange) handOffRequest() *http.Request {
	out := x.backendRequest()
	uri := x.r.URL.RequestURI()
	out.URL = &url.URL{Path: handOffPath}
	out.Header.Set(headerURI, uri)
	out.Header.Set(headerHops, strconv.Itoa(x.origin.hops+1))
	if x.permit != nil || x.origin.claimed {
		out.Header.Set(headerClaimed, headerTrue)
	}
	return out
}

// serveHandOff serves a request that a sibling has handed off.
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
