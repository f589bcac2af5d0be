package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bergamotbank/errkind"
)

// Behavior tells what happens to the keys of a session that ends.
type Behavior string

// The behaviors of a session that ends.
const (
	// BehaviorRelease gives the keys up.
	BehaviorRelease Behavior = "release"
	// BehaviorDelete removes the keys.
	BehaviorDelete Behavior = "delete"
)

type sessionRequest struct {
	TTL      string   `json:"TTL"`
	Behavior Behavior `json:"Behavior"`
}

type sessionAnswer struct {
	ID string `json:"ID"`
}

// CreateSession opens a session that lapses when it is not renewed within ttl,
// and returns its identifier. A session without an answer lapses by itself, so
// the call may be repeated. Errors: StoreUnavailable, Malformed.
func (c *Client) CreateSession(ctx context.Context, ttl time.Duration, behavior Behavior) (string, error) {
	body, err := json.Marshal(sessionRequest{TTL: ttl.String(), Behavior: behavior})
	if err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "session")
	}
	r := request{method: http.MethodPut, path: "/v1/session/create", body: body, timeout: c.options.Timeout}
	a, err := c.read(ctx, r)
	if err != nil {
		return "", err
	}
	var created sessionAnswer
	if err := json.Unmarshal(a.body, &created); err != nil || created.ID == "" {
		return "", errkind.New(errkind.Malformed, "answer of the store to a new session: %s", excerpt(a.body))
	}
	return created.ID, nil
}

// RenewSession extends a session. Errors: NotFound when it has lapsed,
// StoreUnavailable.
func (c *Client) RenewSession(ctx context.Context, id string) error {
	return c.session(ctx, "renew", id)
}

// DestroySession ends a session. Errors as for RenewSession.
func (c *Client) DestroySession(ctx context.Context, id string) error {
	return c.session(ctx, "destroy", id)
}

func (c *Client) session(ctx context.Context, verb, id string) error {
	r := request{method: http.MethodPut, path: "/v1/session/" + verb + "/" + id, timeout: c.options.Timeout}
	a, err := c.read(ctx, r)
	if err != nil {
		return err
	}
	if a.status == http.StatusNotFound {
		return errkind.New(errkind.NotFound, "session %s has lapsed", id)
	}
	return nil
}
