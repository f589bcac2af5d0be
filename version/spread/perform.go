package spread

import (
	"context"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/version/publish"
	"bergamotbank/version/store"
)

// perform starts an action and does not wait for its end.
func (s *Spreader) perform(ctx context.Context, a action) {
	switch a.kind {
	case actQueryPeer:
		s.running.Go(func() { s.queryPeer(ctx, a.peer) })
	case actReadStore:
		s.running.Go(func() { s.readStore(ctx) })
	case actStartWatch:
		s.startWatch(ctx)
	case actStopWatch:
		s.stopWatch()
	case actNotifyPeer:
		s.running.Go(func() { s.client.notify(ctx, a.peer, a.version.Root.Version) })
	case actNotifyLeaves:
		for _, leaf := range s.leaves.recent(time.Now()) {
			s.running.Go(func() { s.client.notify(ctx, leaf.peer, a.version.Root.Version) })
		}
	case actApply:
		s.scheduleApply(a.version)
	case actRecord:
		s.options.Recorder.Record(a.event)
	}
}

// learn passes a version to the state machine and serves it to peers if it is
// the current one.
func (s *Spreader) learn(ctx context.Context, v publish.Version, accepted bool) {
	s.enqueue(ctx, func(now time.Time) []action {
		actions := s.machine.handleVersion(now, v, accepted)
		latest := s.machine.current
		s.current.Store(&latest)
		return actions
	})
}

func (s *Spreader) queryPeer(ctx context.Context, p Peer) {
	local := s.current.Load()
	result, err := s.client.query(ctx, p, *local, s.ActiveVersion())
	if err != nil {
		s.enqueue(ctx, func(now time.Time) []action { return s.machine.handleQueryFailure(now, p) })
		return
	}
	if result.newer != nil {
		s.learn(ctx, *result.newer, false)
	}
	if result.invalid != nil {
		s.reject(ctx, result.status.version, result.invalid)
	}
	s.enqueue(ctx, func(now time.Time) []action { return s.machine.handleResponse(now, p, result.status) })
}

func (s *Spreader) reject(ctx context.Context, version uint64, reason error) {
	s.enqueue(ctx, func(time.Time) []action { return s.machine.handleInvalidVersion(version, reason.Error()) })
}

func (s *Spreader) readStore(ctx context.Context) {
	entry, err := s.options.Store.Get(ctx, publish.RootKey)
	if err != nil {
		s.enqueue(ctx, s.machine.handleStoreFailure)
		return
	}
	s.handleRoot(ctx, entry)
}

// handleRoot handles the root read from the store and loads its version if it is
// newer than the current one.
func (s *Spreader) handleRoot(ctx context.Context, entry store.Entry) {
	if !entry.Exists() {
		s.enqueue(ctx, func(now time.Time) []action { return s.machine.handleStoreRead(now, 0) })
		return
	}
	current := s.current.Load()
	root, err := publish.DecodeRoot(entry.Value)
	if err == nil && root.Version <= current.Root.Version {
		s.enqueue(ctx, func(now time.Time) []action { return s.machine.handleStoreRead(now, root.Version) })
		return
	}
	v, err := publish.LoadRoot(ctx, s.options.Store, entry.Value, current.Texts)
	switch {
	case err == nil:
		s.learn(ctx, v, true)
		s.enqueue(ctx, func(now time.Time) []action { return s.machine.handleStoreRead(now, v.Root.Version) })
	case errkind.Is(err, errkind.StoreUnavailable), errkind.Is(err, errkind.NotFound):
		s.enqueue(ctx, s.machine.handleStoreFailure)
	default:
		s.reject(ctx, root.Version, err)
	}
}

func (s *Spreader) startWatch(ctx context.Context) {
	ctx, s.cancelWatch = context.WithCancel(ctx)
	s.running.Go(func() {
		handle := func(entry store.Entry) { s.handleRoot(ctx, entry) }
		failed := func(error) { s.enqueue(ctx, s.machine.handleStoreFailure) }
		_ = s.options.Store.Watch(ctx, publish.RootKey, handle, failed)
	})
}

func (s *Spreader) stopWatch() {
	if s.cancelWatch != nil {
		s.cancelWatch()
		s.cancelWatch = nil
	}
}

// scheduleApply queues a version to be applied; it replaces one that still waits.
func (s *Spreader) scheduleApply(v publish.Version) {
	select {
	case <-s.pendingApply:
	default:
	}
	s.pendingApply <- v
}

func (s *Spreader) applyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-s.pendingApply:
			s.applyVersion(v)
		}
	}
}

func (s *Spreader) applyVersion(v publish.Version) {
	if v.Root.Version <= s.activeVersion.Load() {
		return
	}
	s.options.Apply(v.Snapshot())
	s.activeVersion.Store(v.Root.Version)
	s.tryEnqueue(s.machine.handleApplied)
	s.options.Recorder.Record(event.Event{Kind: event.VersionInForce, Version: v.Root.Version, Detail: v.Root.Operation})
}
