// Package directory opens the directory of balancers in the platform's
// key-value service, from which processes find each other when they start.
package directory

import (
	"context"

	"bergamotbank/errkind"
	"bergamotbank/process/membership"
	"bergamotbank/version/store"
)

// New returns the directory kept in the store of client, and none when client
// is nil.
func New(client *store.Client) membership.Directory {
	if client == nil {
		return nil
	}
	return membership.NewDirectory(keyValue{client})
}

// keyValue adapts the store client to what the directory needs.
type keyValue struct {
	client *store.Client
}

// Get returns the value of a key and the index of its last change.
func (kv keyValue) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	entry, err := kv.client.Get(ctx, key)
	return entry.Value, entry.ModifyIndex, err
}

// List returns the values of the keys that begin with prefix.
func (kv keyValue) List(ctx context.Context, prefix string) ([]membership.KeyValue, error) {
	entries, err := kv.client.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	values := make([]membership.KeyValue, 0, len(entries))
	for _, entry := range entries {
		values = append(values, membership.KeyValue{Key: entry.Key, Value: entry.Value})
	}
	return values, nil
}

// CompareAndSwap writes the value when the index is still that of the last
// change. A lost race is not an error.
func (kv keyValue) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	err := kv.client.CompareAndSwap(ctx, key, value, index)
	if errkind.Is(err, errkind.Conflict) {
		return false, nil
	}
	return err == nil, err
}
