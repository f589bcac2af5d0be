// Package directory opens the directory of balancers in the platform's
// key-value service, from which processes find each other when they start.
package directory

import (
	"context"
	"strings"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/process/membership"
	"bergamotbank/version/config"
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

// listTimeout bounds the look-up of the lists.
const listTimeout = 2 * time.Second

// Domains returns a function that names the failure domains whose lists are to
// be read: those of the configuration, and before one is known those that have
// a list in the store of client.
func Domains(client *store.Client, current func() *config.Config) func() []string {
	return func() []string {
		if c := current(); c != nil {
			return configured(c)
		}
		if client == nil {
			return nil
		}
		return listed(client)
	}
}

func configured(c *config.Config) []string {
	names := make([]string, 0, len(c.Domains))
	for _, domain := range c.Domains {
		names = append(names, domain.Name)
	}
	return names
}

// listed returns the failure domains that have a list, none when the store does
// not answer.
func listed(client *store.Client) []string {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	entries, err := client.List(ctx, membership.DirectoryPrefix)
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimPrefix(entry.Key, membership.DirectoryPrefix))
	}
	return names
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

// CompareAndSwap writes the value when the index is still that of the last
// change. A lost race is not an error.
func (kv keyValue) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	err := kv.client.CompareAndSwap(ctx, key, value, index)
	if errkind.Is(err, errkind.Conflict) {
		return false, nil
	}
	return err == nil, err
}
