package spread

import (
	"context"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/version/publish"
	"bergamotbank/version/store"
)

// perform starts an action without waiting for it.
func (s *Spreader) perform(ctx context.Context, a action) {
	switch a.kind {
	case actAsk:
		s.running.Go(func() { s.ask(ctx, a.peer) })
	case actReadStore:
		s.running.Go(func() { s.readStore(ctx) })
	case actStartWatch:
		s.startWatch(ctx)
	case actStopWatch:
		s.stopWatch()
	case actNotify:
		s.running.Go(func() { s.client.notify(ctx, a.peer, a.version.Root.Version) })
	case actNotifyLeaves:
		for _, leaf := range s.leaves.recent(time.Now()) {
			s.running.Go(func() { s.client.notify(ctx, leaf.peer, a.version.Root.Version) })
		}
	case actApply:
		s.enqueueApply(a.version)
	case actRecord:
		s.options.Recorder.Record(a.event)
	}
}

// learn hands a version to the machine and makes it the one that peers get.
func (s *Spreader) learn(ctx context.Context, v publish.Version, accepted bool) {
	s.deliver(ctx, func(now time.Time) []action {
		actions := s.machine.learned(now, v, accepted)
		latest := s.machine.current
		s.current.Store(&latest)
		return actions
	})
}

func (s *Spreader) ask(ctx context.Context, p Peer) {
	held := s.current.Load()
	reply, err := s.client.ask(ctx, p, *held, s.ActiveVersion())
	if err != nil {
		s.deliver(ctx, func(now time.Time) []action { return s.machine.failed(now, p) })
		return
	}
	if reply.found != nil {
		s.learn(ctx, *reply.found, false)
	}
	if reply.rejected != nil {
		s.reject(ctx, reply.summary.version, reply.rejected)
	}
	s.deliver(ctx, func(now time.Time) []action { return s.machine.answered(now, p, reply.summary) })
}

func (s *Spreader) reject(ctx context.Context, version uint64, reason error) {
	s.deliver(ctx, func(time.Time) []action { return s.machine.rejectedVersion(version, reason.Error()) })
}

func (s *Spreader) readStore(ctx context.Context) {
	entry, err := s.options.Store.Get(ctx, publish.RootKey)
	if err != nil {
		s.deliver(ctx, s.machine.storeFailed)
		return
	}
	s.takeRoot(ctx, entry)
}

// takeRoot takes the root as it is in the store and completes its version.
func (s *Spreader) takeRoot(ctx context.Context, entry store.Entry) {
	if !entry.Exists() {
		s.deliver(ctx, func(now time.Time) []action { return s.machine.storeRead(now, 0) })
		return
	}
	held := s.current.Load()
	root, err := publish.DecodeRoot(entry.Value)
	if err == nil && root.Version <= held.Root.Version {
		s.deliver(ctx, func(now time.Time) []action { return s.machine.storeRead(now, root.Version) })
		return
	}
	v, err := publish.LoadRoot(ctx, s.options.Store, entry.Value, held.Texts)
	switch {
	case err == nil:
		s.learn(ctx, v, true)
		s.deliver(ctx, func(now time.Time) []action { return s.machine.storeRead(now, v.Root.Version) })
	case errkind.Is(err, errkind.StoreUnavailable), errkind.Is(err, errkind.NotFound):
		s.deliver(ctx, s.machine.storeFailed)
	default:
		s.reject(ctx, root.Version, err)
	}
}

func (s *Spreader) startWatch(ctx context.Context) {
	ctx, s.watch = context.WithCancel(ctx)
	s.running.Go(func() {
		handle := func(entry store.Entry) { s.takeRoot(ctx, entry) }
		failed := func(error) { s.deliver(ctx, s.machine.storeFailed) }
		_ = s.options.Store.Watch(ctx, publish.RootKey, handle, failed)
	})
}

func (s *Spreader) stopWatch() {
	if s.watch != nil {
		s.watch()
		s.watch = nil
	}
}

// enqueueApply replaces a version that still waits to be put in force.
func (s *Spreader) enqueueApply(v publish.Version) {
	select {
	case <-s.apply:
	default:
	}
	s.apply <- v
}

func (s *Spreader) applyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-s.apply:
			s.applyVersion(v)
		}
	}
}

func (s *Spreader) applyVersion(v publish.Version) {
	if v.Root.Version <= s.inForce.Load() {
		return
	}
	s.options.Apply(v.Snapshot())
	s.inForce.Store(v.Root.Version)
	s.offer(s.machine.applied)
	s.options.Recorder.Record(event.Event{Kind: event.VersionInForce, Version: v.Root.Version, Detail: v.Root.Operation})
}
