//go:build review

package main

import (
	"net/netip"
	"sync"
	"time"
)

// flowLifetime and idleTimeout are the ages after which a flow may be discarded; reorderWindow is
// the window of the rule FLOW.
const (
	flowLifetime  = 60 * time.Second
	idleTimeout   = 15 * time.Second
	reorderWindow = 2 * time.Second
)

// watchedFlow is what servers have seen of an open flow.
type watchedFlow struct {
	server   *server
	openedAt time.Time
	lastOwn  time.Time
	// strayed are the times at which packets reached other servers since lastOwn, by the
	// number of the packet and its sequence number.
	strayed []time.Time
	seen    map[stray]bool
	broken  bool
}

// stray is a packet that reached another server. at is the time in steps of 20 ms, so that the
// copies that a search sends to several servers count once.
type stray struct {
	seq, ack uint32
	at       int64
}

// watch checks the rules FLOW, FAILBACK and that requests run once, from what callers and
// servers see.
type watch struct {
	d  *deployment
	mu sync.Mutex

	flows map[flowKey]*watchedFlow
	runs  map[string]int
	// openings are the times at which a cold server took opening packets.
	openings map[*server][]time.Time
	// coldLimit is the number of openings that a cold server may get in one second.
	coldLimit int
	resets    int
}

func newWatch(d *deployment) *watch {
	return &watch{d: d, flows: map[flowKey]*watchedFlow{}, runs: map[string]int{}, openings: map[*server][]time.Time{}}
}

// taken records that a server took an opening packet.
func (w *watch) taken(s *server, key flowKey, cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.d.record.printf("server %s takes the opening of %s cold=%t", s.id, key, cold)
	if !cold || w.coldLimit == 0 {
		return
	}
	now := time.Now()
	recent := w.openings[s][:0]
	for _, t := range w.openings[s] {
		if now.Sub(t) < time.Second {
			recent = append(recent, t)
		}
	}
	w.openings[s] = append(recent, now)
	if n := len(w.openings[s]); n == w.coldLimit+1 {
		w.d.record.breach("FAILBACK: cold server %s gets %d openings within a second, %d are allowed", s.id, n, w.coldLimit)
	}
}

// opened records that a server has the end of the handshake.
func (w *watch) opened(s *server, key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.flows[key] != nil {
		w.d.record.breach("UNASKED: flow %s opens at a second server %s", key, s.id)
		return
	}
	now := time.Now()
	w.flows[key] = &watchedFlow{server: s, openedAt: now, lastOwn: now, seen: map[stray]bool{}}
	w.d.record.printf("server %s opens %s", s.id, key)
}

// own records that a packet reached the server that holds the flow.
func (w *watch) own(_ *server, key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.flows[key]; f != nil {
		f.lastOwn, f.strayed = time.Now(), nil
		clear(f.seen)
	}
}

// foreign records that a packet reached a server that does not hold its flow.
func (w *watch) foreign(s *server, key flowKey, p packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flows[key]
	now := time.Now()
	if f == nil || f.server == s || f.broken {
		return
	}
	w.d.record.printf("server %s gets a packet of %s, which %s holds", s.id, key, f.server.id)
	if now.Sub(f.openedAt) > flowLifetime || now.Sub(f.lastOwn) > idleTimeout {
		return
	}
	number := stray{p.seq, p.ack, now.UnixMilli() / 20}
	if f.seen[number] {
		return
	}
	f.seen[number] = true
	f.strayed = append(f.strayed, now)
	if len(f.strayed) >= 3 && now.Sub(f.strayed[0]) >= reorderWindow {
		f.broken = true
		w.d.record.breach("FLOW (b): for %s %d packets of %s reached other servers, the last one %s, and none %s, which holds it",
			now.Sub(f.strayed[0]).Round(time.Millisecond), len(f.strayed), key, s.id, f.server.id)
	}
}

// ended records that one end has closed the flow.
func (w *watch) ended(key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.flows, key)
}

// reset records that a caller got a valid reset of an open flow.
func (w *watch) reset(key flowKey, from netip.Addr) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resets++
	f := w.flows[key]
	name := w.d.nameOf(from)
	if f == nil || !f.server.holds(key) {
		w.d.record.printf("caller gets a reset of %s from %s; no server holds the flow", key, name)
		return
	}
	age, idle := time.Since(f.openedAt), time.Since(f.lastOwn)
	if age > flowLifetime || idle > idleTimeout {
		w.d.record.printf("caller gets a reset of %s from %s; the flow is too old or idle", key, name)
		return
	}
	select {
	case <-f.server.stopped:
		w.d.record.printf("caller gets a reset of %s from %s; its server has crashed", key, name)
		return
	default:
	}
	if quiet, why := w.d.calm(f.server); !quiet {
		w.d.record.printf("caller gets a reset of %s from %s; excused: %s", key, name, why)
		return
	}
	w.d.record.breach("FLOW (a): the caller of %s gets a reset from %s although server %s holds the flow (open for %s, last packet %s ago)",
		key, name, f.server.id, age.Round(time.Millisecond), idle.Round(time.Millisecond))
}

// ran records that a server began to work on a request.
func (w *watch) ran(s *server, key flowKey, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	w.d.record.printf("server %s runs %s on %s", s.id, id, key)
	if w.runs[id] > 1 {
		w.d.record.breach("request %s runs %d times, now at %s", id, w.runs[id], s.id)
	}
}
