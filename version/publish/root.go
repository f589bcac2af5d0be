// Package publish keeps the accepted configuration in the platform's key-value
// service: a root, which names the version, the operation that wrote it and the
// hash of each section, and the sections. Sections are written first, under
// keys of their own, and a compare-and-swap of the root decides. A write whose
// answer is lost is looked up by its operation before anything is repeated.
package publish

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"bergamotbank/errkind"
)

// Keys of the configuration in the store.
const (
	// RootKey holds the root.
	RootKey = "config/root"
	// SectionPrefix begins the key of each section.
	SectionPrefix = "config/section/"
)

// format is the version of the encoding of a root.
const format = 1

// recentOperations is the number of operations that a root remembers.
const recentOperations = 32

// hashBytes is the length of a Hash: a SHA-256 cut to 128 bits.
const hashBytes = 16

// Hash identifies the text of a section, or the content of a version.
type Hash [hashBytes]byte

// HashOf returns the hash of a text.
func HashOf(text []byte) Hash {
	sum := sha256.Sum256(text)
	return Hash(sum[:hashBytes])
}

// String returns the hash in hexadecimal digits.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// MarshalText returns the hash in hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(h.String()), nil
}

// UnmarshalText reads hexadecimal digits. Errors: Malformed.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(hashBytes) {
		return errkind.New(errkind.Malformed, "hash %q has not %d digits", text, hex.EncodedLen(hashBytes))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return errkind.Wrap(err, errkind.Malformed, "hash %q", text)
	}
	return nil
}

// SectionRef names one section of a version.
type SectionRef struct {
	// Name tells which part of the configuration the section holds.
	Name string `json:"name"`
	// Hash is the hash of its text.
	Hash Hash `json:"hash"`
	// Writer identifies the attempt that wrote the text, and makes its key one
	// of its own.
	Writer string `json:"writer"`
}

// Key returns the key of the text in the store.
func (s SectionRef) Key() string {
	return SectionPrefix + s.Hash.String() + "-" + s.Writer
}

// Operation is one accepted write of the root.
type Operation struct {
	// ID identifies the operation.
	ID string `json:"id"`
	// Version is the version that it wrote.
	Version uint64 `json:"version"`
}

// Root describes one version.
type Root struct {
	// Format is the version of the encoding.
	Format int `json:"format"`
	// Version is the monotone number of the version, from 1. Version 0 is a
	// placeholder without sections.
	Version uint64 `json:"version"`
	// Operation identifies the write that made the version.
	Operation string `json:"operation"`
	// Sections lists the sections by name; empty sections are left out.
	Sections []SectionRef `json:"sections"`
	// Recent lists the last operations, oldest first.
	Recent []Operation `json:"recent"`
	// Epoch counts writes of the root that leave the version as it is.
	Epoch uint64 `json:"epoch"`
}

// Digest identifies the content of the version: its number and the hashes of
// its sections.
func (r Root) Digest() Hash {
	digest := sha256.New()
	digest.Write(fmt.Appendf(nil, "%d\n", r.Version))
	for _, s := range r.Sections {
		digest.Write(fmt.Appendf(nil, "%s %s\n", s.Name, s.Hash))
	}
	return Hash(digest.Sum(nil)[:hashBytes])
}

// find returns the version that an operation wrote, if the root remembers it.
func (r Root) find(operation string) (uint64, bool) {
	for _, recent := range r.Recent {
		if recent.ID == operation {
			return recent.Version, true
		}
	}
	return 0, false
}

// remember appends the root's own operation to those of the root before.
func (r Root) remember(before []Operation) []Operation {
	recent := append(append([]Operation{}, before...), Operation{ID: r.Operation, Version: r.Version})
	return recent[max(0, len(recent)-recentOperations):]
}

// EncodeRoot returns the value of a root in the store.
func EncodeRoot(r Root) ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errkind.Wrap(err, errkind.Internal, "encode root")
}

// DecodeRoot reads the value of a root. Errors: Malformed.
func DecodeRoot(value []byte) (Root, error) {
	var r Root
	if err := json.Unmarshal(value, &r); err != nil {
		return Root{}, errkind.Wrap(err, errkind.Malformed, "root %s", RootKey)
	}
	if r.Format != format {
		return Root{}, errkind.New(errkind.Malformed, "root %s: format %d, this program reads %d", RootKey, r.Format, format)
	}
	if r.Version == 0 && len(r.Sections) > 0 {
		return Root{}, errkind.New(errkind.Malformed, "root %s: version 0 with sections", RootKey)
	}
	return r, nil
}

// operationBytes is the number of random bytes in an identifier.
const operationBytes = 8

// NewOperationID returns a random identifier of an operation.
func NewOperationID() string {
	var id [operationBytes]byte
	_, _ = rand.Read(id[:]) // never fails, see crypto/rand
	return hex.EncodeToString(id[:])
}
