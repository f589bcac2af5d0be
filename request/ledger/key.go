// Package ledger decides whether a request with an idempotency key may run. It
// performs no I/O: messages and the current time are passed in.
//
// Each key is stored on replicas, chosen among the agents of the service. An
// agent that wants to run a keyed request claims the key at all replicas and
// runs the request only if a majority grants the claim. A replica grants a claim
// only if it has no other claim on record and its record covers the key: it must
// have been a replica of the key, without losing its state, since the earliest
// time at which the key can have been used. Any two majorities of replicas that
// cover the same time share an agent, so at most one claim succeeds, however
// often the replicas change between two attempts.
package ledger

import (
	"encoding/hex"
	"strings"
	"time"

	"bergamotbank/errkind"
)

const (
	// Retention is how long a replica keeps a claim and its result.
	Retention = 10 * time.Minute
	// MaxSkew is the largest difference accepted between the clock of a caller and
	// the clock of an agent.
	MaxSkew = 5 * time.Second
	// PropagationDelay is the time after which a change of the members is assumed
	// to be known to all of them.
	PropagationDelay = 2 * time.Second
	// maxKeyLength is the length of the longest valid key in bytes.
	maxKeyLength = 255
	// uuidLength is the length of a UUID in text form.
	uuidLength = 36
)

// Key is an idempotency key and what is known about its age.
type Key struct {
	// Value is the key as the caller sent it.
	Value string
	// Issued is the creation time encoded in the key; zero if there is none.
	Issued time.Time
	// First is true if the caller marked the request as its first with the key.
	First bool
}

// ParseKey parses a key. A UUID of version 7 contains its creation time; any
// other text contains none. A key that is too long or was created in the future
// gives an error of kind Malformed.
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

// uuidTime returns the creation time of a UUID of version 7 (RFC 9562), whose
// first 48 bits are the Unix time in milliseconds.
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

// EarliestUse returns the earliest time at which the key can have been used,
// according to the clock of the agent. now is the current time of that clock.
func (k Key) EarliestUse(now time.Time) time.Time {
	switch {
	case k.First:
		return now
	case !k.Issued.IsZero():
		return k.Issued.Add(-MaxSkew)
	default:
		return now.Add(-Retention)
	}
}

// Expired reports whether the key is older than the retention of the replicas.
func (k Key) Expired(now time.Time) bool {
	return !k.First && k.EarliestUse(now).Before(now.Add(-Retention))
}
