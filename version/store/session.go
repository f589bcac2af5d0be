package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bergamotbank/errkind"
)

// Behavior selects what happens to the locked keys of a session when it ends.
type Behavior string

// Behaviors at the end of a session.
const (
	// BehaviorRelease releases the locks of the keys.
	BehaviorRelease Behavior = "release"
	// BehaviorDelete deletes the keys.
	BehaviorDelete Behavior = "delete"
)

type sessionRequest struct {
	TTL      string   `json:"TTL"`
	Behavior Behavior `json:"Behavior"`
}

type sessionResponse struct {
	ID string `json:"ID"`
}

// CreateSession creates a session that expires if it is not renewed within ttl, and
// returns its identifier. The call is retried, since a session whose response is
// lost expires on its own. Error kinds: StoreUnavailable, Malformed.
func (c *Client) CreateSession(ctx context.Context, ttl time.Duration, behavior Behavior) (string, error) {
	body, err := json.Marshal(sessionRequest{TTL: ttl.String(), Behavior: behavior})
	if err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "encode the session request")
	}
	r := request{method: http.MethodPut, path: "/v1/session/create", body: body, timeout: c.options.Timeout}
	resp, err := c.read(ctx, r)
	if err != nil {
		return "", err
	}
	var created sessionResponse
	if err := json.Unmarshal(resp.body, &created); err != nil || created.ID == "" {
		return "", errkind.New(errkind.Malformed, "invalid response to the creation of a session: %s", excerpt(resp.body))
	}
	return created.ID, nil
}

// RenewSession renews a session. Error kinds: NotFound if it has expired,
// StoreUnavailable.
func (c *Client) RenewSession(ctx context.Context, id string) error {
	return c.updateSession(ctx, "renew", id)
}

// DestroySession ends a session. The error kinds are those of RenewSession.
func (c *Client) DestroySession(ctx context.Context, id string) error {
	return c.updateSession(ctx, "destroy", id)
}

func (c *Client) updateSession(ctx context.Context, operation, id string) error {
	r := request{method: http.MethodPut, path: "/v1/session/" + operation + "/" + id, timeout: c.options.Timeout}
	resp, err := c.read(ctx, r)
	if err != nil {
		return err
	}
	if resp.status == http.StatusNotFound {
		return errkind.New(errkind.NotFound, "session %s has expired", id)
	}
	return nil
}
