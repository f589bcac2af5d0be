package publish

import (
	"context"

	"bergamotbank/version/store"
)

// collectInterval is the number of versions between two collections.
const collectInterval = 16

// Collect removes sections that no root refers to and returns their number.
// The root is written again between the listing and the removal, so that an
// operation under way, which may count on a listed section, fails and starts
// over with sections of its own. Errors as for CompareAndSwap; a collection
// that fails leaves the rest to the next one.
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
	if err := p.touch(ctx, root, index); err != nil {
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
