// Package directory provides access to the directory of balancers in the platform's
// key-value store, with which processes discover each other when they start.
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

// New returns the directory in the store of client, or nil if client is nil.
func New(client *store.Client) membership.Directory {
	if client == nil {
		return nil
	}
	return membership.NewDirectory(storeAdapter{client})
}

// listTimeout limits the time to list the directory's entries.
const listTimeout = 2 * time.Second

// Domains returns a function that returns the names of the failure domains whose lists
// of balancers are to be read: those of the configuration, or, while none is known,
// those that have a list in the store of client.
func Domains(client *store.Client, current func() *config.Config) func() []string {
	return func() []string {
		if c := current(); c != nil {
			return configuredDomains(c)
		}
		if client == nil {
			return nil
		}
		return storedDomains(client)
	}
}

func configuredDomains(c *config.Config) []string {
	names := make([]string, 0, len(c.Domains))
	for _, domain := range c.Domains {
		names = append(names, domain.Name)
	}
	return names
}

// storedDomains returns the names of the failure domains that have a list in the store,
// or none if the store is unavailable.
func storedDomains(client *store.Client) []string {
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

// storeAdapter adapts the store client to the interface of the directory.
type storeAdapter struct {
	client *store.Client
}

// Get returns the value of a key and its modify index.
func (a storeAdapter) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	entry, err := a.client.Get(ctx, key)
	return entry.Value, entry.ModifyIndex, err
}

// CompareAndSwap writes the value if index is still the modify index of the key. A
// conflict returns false without an error.
func (a storeAdapter) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	err := a.client.CompareAndSwap(ctx, key, value, index)
	if errkind.Is(err, errkind.Conflict) {
		return false, nil
	}
	return err == nil, err
}
