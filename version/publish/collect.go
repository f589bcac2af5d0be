package publish

import (
	"context"

	"bergamotbank/version/store"
)

// collectInterval is the number of versions between two garbage collections.
const collectInterval = 16

// Collect removes the sections that the root does not refer to and returns their
// number. It increments the root's epoch after listing the sections and before
// removing them, so that a concurrent operation, which may refer to a listed
// section, fails and starts again with its own sections. Errors as for
// CompareAndSwap. The next collection removes what a failed one leaves.
func (p *Publisher) Collect(ctx context.Context) (int, error) {
	root, index, err := p.readRoot(ctx)
	if err != nil {
		return 0, err
	}
	entries, err := p.client.List(ctx, SectionPrefix)
	if err != nil {
		return 0, err
	}
	garbage := unreferenced(root, entries)
	if len(garbage) == 0 {
		return 0, nil
	}
	if err := p.bumpEpoch(ctx, root, index); err != nil {
		return 0, err
	}
	for removed, entry := range garbage {
		if err := p.client.Delete(ctx, entry.Key, entry.ModifyIndex); err != nil {
			return removed, err
		}
	}
	return len(garbage), nil
}

func unreferenced(root Root, entries []store.Entry) []store.Entry {
	referenced := make(map[string]bool, len(root.Sections))
	for _, s := range root.Sections {
		referenced[s.Key()] = true
	}
	var garbage []store.Entry
	for _, entry := range entries {
		if !referenced[entry.Key] {
			garbage = append(garbage, entry)
		}
	}
	return garbage
}
