package publish

import (
	"context"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
	"bergamotbank/version/store"
)

// singleReads is the largest number of sections read one by one; more are read
// in one call that lists all.
const singleReads = 4

// loadAttempts bounds the reads of a root whose sections were replaced and
// collected meanwhile.
const loadAttempts = 3

// Load returns the version in the store; version 0 when there is none. Errors:
// StoreUnavailable, and those of Assemble for a broken version.
func Load(ctx context.Context, client *store.Client) (config.Snapshot, error) {
	v, err := LoadVersion(ctx, client, nil)
	return v.Snapshot(), err
}

// LoadVersion is Load with the texts that the caller has already; only the
// others are read. The root of a broken version is returned with the error.
func LoadVersion(ctx context.Context, client *store.Client, known Texts) (Version, error) {
	v, _, err := loadEntry(ctx, client, known)
	return v, err
}

func loadEntry(ctx context.Context, client *store.Client, known Texts) (Version, store.Entry, error) {
	var v Version
	var entry store.Entry
	var err error
	for range loadAttempts {
		entry, err = client.Get(ctx, RootKey)
		if err != nil || !entry.Exists() {
			return Version{}, entry, err
		}
		v, err = LoadRoot(ctx, client, entry.Value, known)
		if !errkind.Is(err, errkind.NotFound) {
			return v, entry, err
		}
	}
	return v, entry, errkind.Wrap(err, errkind.Malformed, "load")
}

// LoadRoot completes the version of a root's value. Errors as for LoadVersion,
// and NotFound when a section is not in the store.
func LoadRoot(ctx context.Context, client *store.Client, value []byte, known Texts) (Version, error) {
	root, err := DecodeRoot(value)
	if err != nil {
		return Version{}, err
	}
	broken := Version{Root: root}
	if root.Version == 0 {
		return broken, nil
	}
	texts, err := readTexts(ctx, client, root, known)
	if err != nil {
		return broken, err
	}
	v, err := Assemble(root, texts)
	if err != nil {
		return broken, err
	}
	return v, nil
}

func readTexts(ctx context.Context, client *store.Client, root Root, known Texts) (Texts, error) {
	texts := make(Texts, len(root.Sections))
	for _, s := range root.Sections {
		if text, found := known[s.Hash]; found {
			texts[s.Hash] = text
		}
	}
	missing := MissingSections(root, texts)
	if len(missing) > singleReads {
		return texts, listTexts(ctx, client, missing, texts)
	}
	for _, s := range missing {
		entry, err := client.Get(ctx, s.Key())
		if err != nil {
			return nil, err
		}
		if entry.Exists() {
			texts[s.Hash] = entry.Value
		}
	}
	return texts, nil
}

func listTexts(ctx context.Context, client *store.Client, missing []SectionRef, texts Texts) error {
	entries, err := client.List(ctx, SectionPrefix)
	if err != nil {
		return err
	}
	byKey := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		byKey[entry.Key] = entry.Value
	}
	for _, s := range missing {
		if text, found := byKey[s.Key()]; found {
			texts[s.Hash] = text
		}
	}
	return nil
}
