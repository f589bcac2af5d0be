// Package ledger decides whether a request under an idempotency key may run. It
// is pure: messages and the time come from outside.
//
// Each key has homes, chosen among the agents of the service. An agent that
// wants to run a keyed request claims the key at all homes and runs it only
// when a majority has granted the claim. A home grants a claim only when it
// knows of no other, and only when it can vouch that it would know: it must
// have been a home of the key, with its memory whole, since the earliest time at
// which the key can have been used. Any two majorities of homes that vouch for
// the same time share an agent, so at most one claim succeeds, however often the
// homes change between two tries.
package ledger

import (
	"encoding/hex"
	"strings"
	"time"

	"bergamotbank/errkind"
)

const (
	// Retention is how long a home remembers a claim and its result.
	Retention = 10 * time.Minute
	// MaxSkew is the largest difference accepted between the clock of a caller and
	// the clock of an agent.
	MaxSkew = 5 * time.Second
	// PropagationDelay is the time after which a change of the members is taken to be known
	// to all of them.
	PropagationDelay = 2 * time.Second
	// maxKeyLength is the longest key in bytes.
	maxKeyLength = 255
	// uuidLength is the length of a UUID in text form.
	uuidLength = 36
)

// Key is an idempotency key with what is known of its age.
type Key struct {
	// Value is the key as the caller sent it.
	Value string
	// Issued is the time within the key; zero when the key carries none.
	Issued time.Time
	// First tells that the caller marked the request as its first under the key.
	First bool
}

// ParseKey reads a key. A UUID of version 7 carries the time of its creation; any
// other text carries none. Errors have the kind Malformed: a key that is too long
// or whose time lies in the future.
func ParseKey(value string, first bool, now time.Time) (Key, error) {
	if len(value) > maxKeyLength {
		return Key{}, errkind.New(errkind.Malformed, "idempotency key of %d bytes is longer than %d", len(value), maxKeyLength)
	}
	key := Key{Value: value, First: first}
	issued, ok := uuidTime(value)
	if !ok {
		return key, nil
	}
	if issued.After(now.Add(MaxSkew)) {
		return Key{}, errkind.New(errkind.Malformed, "the time of idempotency key %q lies in the future", value)
	}
	key.Issued = issued
	return key, nil
}

// uuidTime returns the time of a UUID of version 7 (RFC 9562): its first 48 bits
// are milliseconds since 1970.
func uuidTime(text string) (time.Time, bool) {
	if len(text) != uuidLength || text[14] != '7' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(text, "-", ""))
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range raw[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

// Since returns the earliest time at which the key can have been used, as seen
// at now by the clock of an agent.
func (k Key) Since(now time.Time) time.Time {
	switch {
	case k.First:
		return now
	case !k.Issued.IsZero():
		return k.Issued.Add(-MaxSkew)
	default:
		return now.Add(-Retention)
	}
}

// Expired tells whether the key is older than the homes remember.
func (k Key) Expired(now time.Time) bool {
	return !k.First && k.Since(now).Before(now.Add(-Retention))
}
