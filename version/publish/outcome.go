package publish

import (
	"context"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
)

// opStatus is the status of an operation according to a root.
type opStatus uint8

const (
	// opPending means that the write may still take effect.
	opPending opStatus = iota
	// opCommitted means that the operation made a version.
	opCommitted
	// opNotCommitted means that the operation has not made a version and never will.
	opNotCommitted
	// opEvicted means that the root no longer lists operations of that time.
	opEvicted
)

// operationStatus returns the status of an operation, which was based on b, according
// to a root read at the given index, and the version that the operation made.
func operationStatus(b base, root Root, index uint64, operation string) (opStatus, uint64) {
	if version, found := root.findOperation(operation); found {
		return opCommitted, version
	}
	// An index below that of the base is the result of a stale read.
	if index <= b.index {
		return opPending, 0
	}
	if root.hasEvicted(b.version.Root.Version + 1) {
		return opEvicted, 0
	}
	return opNotCommitted, 0
}

// hasEvicted reports whether the root may no longer list the operation that made a
// version.
func (r Root) hasEvicted(version uint64) bool {
	return len(r.Recent) == recentOperations && r.Recent[0].Version > version
}

// unresolved ends an attempt that made no version. If an earlier call may have made
// one, the outcome of the operation is Unknown, else Refused.
func (req Request) unresolved(cause error, result *Result) error {
	if !req.mayRepeat {
		return cause
	}
	result.Outcome = Unknown
	return errkind.Wrap(cause, errkind.OutcomeUnknown,
		"cannot determine whether an earlier attempt of operation %s made a version; repeat it with the same operation ID", req.Operation)
}

// resolveOutcome determines the outcome of a write of the root that may or may not
// have taken effect. While the root is unchanged, the write may still arrive;
// incrementing the root's epoch then ensures that it fails.
func (p *Publisher) resolveOutcome(ctx context.Context, b base, written Version, result *Result) (retry bool, err error) {
	result.Outcome = Unknown
	operation := written.Root.Operation
	for try := 1; ctx.Err() == nil; try++ {
		root, index, err := p.readRoot(ctx)
		if err == nil {
			status, version := operationStatus(b, root, index, operation)
			switch status {
			case opCommitted:
				result.accept(version)
				if root.Version == version {
					result.Published = &written
				}
				return false, nil
			case opNotCommitted:
				return p.abort(ctx, b, root, written, result)
			case opEvicted:
				return false, outcomeUnknownError(operation, "the root no longer lists operations of that time")
			case opPending:
				// The next iteration reads the result of this write.
				_ = p.bumpEpoch(ctx, root, index)
			}
		}
		if try > 1 || err != nil {
			backOff(ctx, min(try, maxAttempts))
		}
	}
	return false, outcomeUnknownError(operation, "the store does not respond")
}

func outcomeUnknownError(operation, reason string) error {
	return errkind.New(errkind.OutcomeUnknown,
		"operation %s may or may not have made a version: %s; repeat it with the same operation ID to find out", operation, reason)
}

// handleConflict ends an operation whose write of the root failed with a conflict.
// This attempt made no version, even if the version that was written first cannot be
// read. An earlier attempt of the same operation may have made one, though.
func (p *Publisher) handleConflict(ctx context.Context, req Request, b base, written Version, result *Result) (retry bool, err error) {
	root, index, err := p.readRoot(ctx)
	if err != nil {
		return false, req.unresolved(errkind.Wrap(err, errkind.Conflict, "another operation changed the root first; its version is unknown"), result)
	}
	switch status, version := operationStatus(b, root, index, req.Operation); status {
	case opCommitted:
		result.accept(version)
		return false, nil
	case opEvicted:
		return false, req.unresolved(errkind.New(errkind.Conflict, "another operation changed the root first; the root no longer lists operations of that time"), result)
	case opPending, opNotCommitted:
	}
	return p.abort(ctx, b, root, written, result)
}

// abort ends an attempt that made no version. The operation may be retried if only
// the root's epoch has changed.
func (p *Publisher) abort(ctx context.Context, b base, root Root, written Version, result *Result) (retry bool, err error) {
	result.Outcome = Refused
	result.Current = root.Version
	if root.Version == b.version.Root.Version {
		return true, nil
	}
	if current, err := LoadVersion(ctx, p.client, written.Texts); err == nil {
		result.Current = current.Root.Version
		result.Changes = config.Diff(current.Config, written.Config)
	}
	return false, errkind.New(errkind.Conflict,
		"another operator made version %d first; this operation was based on version %d", root.Version, b.version.Root.Version)
}

// readRoot returns the root and its index, and the zero Root if there is none.
func (p *Publisher) readRoot(ctx context.Context) (Root, uint64, error) {
	entry, err := p.client.Get(ctx, RootKey)
	if err != nil || !entry.Exists() {
		return Root{}, entry.ModifyIndex, err
	}
	root, err := DecodeRoot(entry.Value)
	return root, entry.ModifyIndex, err
}

// bumpEpoch increments the epoch of the root, so that every pending write based on
// its previous index fails.
func (p *Publisher) bumpEpoch(ctx context.Context, root Root, index uint64) error {
	root.Epoch++
	root.Format = rootFormat
	value, err := EncodeRoot(root)
	if err != nil {
		return err
	}
	return p.client.CompareAndSwap(ctx, RootKey, value, index)
}
