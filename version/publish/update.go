package publish

import (
	"context"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
)

// maxUpdateAttempts is the maximum number of times that a change is applied,
// including the retries after a conflict.
const maxUpdateAttempts = 8

// Update applies change to the current content and publishes the result. If another
// operation publishes first, Update applies change again to the new content. An error
// of change is returned. Errors as for Publish, and NotFound if the store holds no
// version.
func (p *Publisher) Update(ctx context.Context, floor uint64, change func(*config.Config) (*config.Config, error)) (Result, error) {
	var result Result
	var err error
	for try := range maxUpdateAttempts {
		if try > 0 && !backOff(ctx, try) {
			break
		}
		result, err = p.updateOnce(ctx, floor, change)
		if !errkind.Is(err, errkind.Conflict) {
			break
		}
	}
	return result, err
}

func (p *Publisher) updateOnce(ctx context.Context, floor uint64, change func(*config.Config) (*config.Config, error)) (Result, error) {
	refused := Result{Outcome: Refused}
	current, err := LoadVersion(ctx, p.client, nil)
	if err != nil {
		return refused, err
	}
	if current.Config == nil {
		return refused, errkind.New(errkind.NotFound, "the store holds no configuration")
	}
	desired, err := change(current.Config)
	if err != nil {
		return refused, err
	}
	expected := current.Root.Version
	return p.Publish(ctx, Request{Config: desired, Expect: &expected, Floor: floor})
}
