package publish

import (
	"context"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
)

// verdict is what a root tells about an operation.
type verdict uint8

const (
	// pending means that the write may still take effect.
	pending verdict = iota
	// made means that the operation made a version.
	made
	// lost means that the operation made no version and never will.
	lost
	// forgotten means that the root no longer remembers that far back.
	forgotten
)

// judge tells what a root at the given index says about an operation that was
// written against base.
func judge(b base, root Root, index uint64, operation string) (verdict, uint64) {
	if version, found := root.find(operation); found {
		return made, version
	}
	// An index below that of the base comes from a stale read.
	if index <= b.index {
		return pending, 0
	}
	if len(root.Recent) == recentOperations && root.Recent[0].Version > b.version.Root.Version+1 {
		return forgotten, 0
	}
	return lost, 0
}

// settle finds out what became of a write of the root without a clear answer.
// While the root is as before, the write may still arrive; a write of the root
// that leaves the version as it is then makes sure that it cannot.
func (p *Publisher) settle(ctx context.Context, b base, written Version, result *Result) (again bool, err error) {
	result.Outcome = Unknown
	operation := written.Root.Operation
	for try := 1; ctx.Err() == nil; try++ {
		root, index, err := p.readRoot(ctx)
		if err == nil {
			outcome, version := judge(b, root, index, operation)
			switch outcome {
			case made:
				result.accept(version)
				if root.Version == version {
					result.Published = &written
				}
				return false, nil
			case lost:
				return p.lose(ctx, b, root, written, result)
			case forgotten:
				return false, unknown(operation, "later versions have displaced it")
			case pending:
				// The next round reads what this write led to.
				_ = p.touch(ctx, root, index)
			}
		}
		if try > 1 || err != nil {
			pauseBefore(ctx, min(try, attempts))
		}
	}
	return false, unknown(operation, "the store does not answer")
}

func unknown(operation, reason string) error {
	return errkind.New(errkind.OutcomeUnknown,
		"operation %s may or may not have made a version: %s; repeat it with this operation to find out", operation, reason)
}

// refused ends an operation whose write the store refused. It made no version,
// though the store may be unable to tell which one came first; but the same
// operation, started a second time, may have made one before.
func (p *Publisher) refused(ctx context.Context, b base, written Version, result *Result) (again bool, err error) {
	root, _, err := p.readRoot(ctx)
	if err != nil {
		return false, errkind.Wrap(err, errkind.Conflict, "another operator came first, which one is not known")
	}
	if version, found := root.find(written.Root.Operation); found {
		result.accept(version)
		return false, nil
	}
	return p.lose(ctx, b, root, written, result)
}

// lose ends an operation that made no version. When only the root's epoch has
// moved, nothing speaks against another attempt.
func (p *Publisher) lose(ctx context.Context, b base, root Root, written Version, result *Result) (again bool, err error) {
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
		"another operator made version %d first, this operation was built on version %d", root.Version, b.version.Root.Version)
}

// readRoot returns the root and its index; a missing root is the zero Root.
func (p *Publisher) readRoot(ctx context.Context) (Root, uint64, error) {
	entry, err := p.client.Get(ctx, RootKey)
	if err != nil || !entry.Exists() {
		return Root{}, entry.ModifyIndex, err
	}
	root, err := DecodeRoot(entry.Value)
	return root, entry.ModifyIndex, err
}

// touch writes the root again with a higher epoch. Every write built on the
// index before then fails.
func (p *Publisher) touch(ctx context.Context, root Root, index uint64) error {
	root.Epoch++
	root.Format = format
	value, err := EncodeRoot(root)
	if err != nil {
		return err
	}
	return p.client.CompareAndSwap(ctx, RootKey, value, index)
}
