package membership

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"

	"bergamotbank/errkind"
)

// Directory is a short list of balancers per failure domain that processes use to
// discover each other at start.
type Directory interface {
	// Read returns the balancers listed for a failure domain.
	Read(ctx context.Context, domain string) ([]Peer, error)
	// Join adds a balancer unless the list is full.
	Join(ctx context.Context, self Peer) error
	// Leave removes a balancer from the list.
	Leave(ctx context.Context, self Peer) error
	// Repair removes balancers that are not alive from the list.
	Repair(ctx context.Context, domain string, alive func(Peer) bool) error
}

// KV is the part of the platform's key-value service that a Directory needs.
type KV interface {
	// Get returns the value of a key and the index of its last change; index 0
	// if the key does not exist.
	Get(ctx context.Context, key string) (value []byte, index uint64, err error)
	// CompareAndSwap writes the value if index is still that of the last change;
	// index 0 requires that the key does not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
}

const (
	// DirectoryPrefix is the prefix of the directory's keys, one per failure domain.
	DirectoryPrefix = "directory/"
	// directorySize is the maximum number of balancers listed per failure domain.
	directorySize = 8
	// directoryAttempts is the number of attempts to write a change despite conflicts.
	directoryAttempts = 5
)

// directoryEntry is one balancer in the JSON list.
type directoryEntry struct {
	Name        string         `json:"name"`
	Incarnation uint64         `json:"incarnation"`
	Packet      netip.AddrPort `json:"packet"`
	Control     netip.AddrPort `json:"control"`
}

// storeDirectory is a Directory in the platform's key-value service.
type storeDirectory struct {
	kv KV
}

// NewDirectory returns a Directory that keeps its lists in a key-value service.
func NewDirectory(kv KV) Directory {
	return &storeDirectory{kv: kv}
}

// Read returns the balancers listed for a failure domain. A list that cannot
// be decoded is treated as empty, so that the next change replaces it.
func (d *storeDirectory) Read(ctx context.Context, domain string) ([]Peer, error) {
	peers, _, err := d.read(ctx, domain)
	return peers, err
}

func (d *storeDirectory) read(ctx context.Context, domain string) ([]Peer, uint64, error) {
	value, index, err := d.kv.Get(ctx, DirectoryPrefix+domain)
	if err != nil {
		return nil, 0, errkind.Wrap(err, errkind.StoreUnavailable, "read directory of %q", domain)
	}
	return decodeDirectory(value, domain), index, nil
}

// decodeDirectory decodes a JSON list and omits invalid entries.
func decodeDirectory(value []byte, domain string) []Peer {
	var entries []directoryEntry
	if len(value) == 0 || json.Unmarshal(value, &entries) != nil {
		return nil
	}
	peers := make([]Peer, 0, len(entries))
	for _, e := range entries {
		if validName(e.Name) && e.Control.Addr().Is4() && e.Control.Port() != 0 {
			peers = append(peers, Peer{
				Name:        e.Name,
				Domain:      domain,
				Incarnation: e.Incarnation,
				Packet:      e.Packet,
				Control:     e.Control,
			})
		}
	}
	return peers
}

func encodeDirectory(peers []Peer) ([]byte, error) {
	entries := make([]directoryEntry, 0, len(peers))
	for _, p := range peers {
		entries = append(entries, directoryEntry{Name: p.Name, Incarnation: p.Incarnation, Packet: p.Packet, Control: p.Control})
	}
	value, err := json.Marshal(entries)
	return value, errkind.Wrap(err, errkind.Internal, "encode directory")
}

// Join adds a balancer unless the list is full. An entry with the same name or
// address is replaced.
func (d *storeDirectory) Join(ctx context.Context, self Peer) error {
	return d.change(ctx, self.Domain, func(peers []Peer) []Peer {
		if slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == self.Name && p.Control == self.Control }) {
			return peers
		}
		kept := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
			return p.Name == self.Name || p.Control == self.Control
		})
		if len(kept) >= directorySize {
			return kept
		}
		return append(kept, self)
	})
}

// Leave removes a balancer from the list.
func (d *storeDirectory) Leave(ctx context.Context, self Peer) error {
	return d.Repair(ctx, self.Domain, func(p Peer) bool { return p.Name != self.Name })
}

// Repair removes balancers that are not alive from the list.
func (d *storeDirectory) Repair(ctx context.Context, domain string, alive func(Peer) bool) error {
	return d.change(ctx, domain, func(peers []Peer) []Peer {
		return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !alive(p) })
	})
}

// change writes the list by compare-and-swap, and only if it changes.
func (d *storeDirectory) change(ctx context.Context, domain string, edit func([]Peer) []Peer) error {
	for range directoryAttempts {
		peers, index, err := d.read(ctx, domain)
		if err != nil {
			return err
		}
		edited := edit(peers)
		if slices.Equal(peers, edited) {
			return nil
		}
		value, err := encodeDirectory(edited)
		if err != nil {
			return err
		}
		swapped, err := d.kv.CompareAndSwap(ctx, DirectoryPrefix+domain, value, index)
		if err != nil {
			return errkind.Wrap(err, errkind.StoreUnavailable, "write directory of %q", domain)
		}
		if swapped {
			return nil
		}
	}
	return errkind.New(errkind.Conflict, "directory of %q keeps changing", domain)
}
