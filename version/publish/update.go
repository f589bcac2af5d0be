package publish

import (
	"context"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
)

// updateAttempts bounds how often a change is applied anew after a conflict.
const updateAttempts = 8

// Update publishes change applied to the current content, and applies it anew
// when another operator comes first. change may refuse with an error, which is
// returned. Errors as for Publish, and NotFound when the store holds no version.
func (p *Publisher) Update(ctx context.Context, floor uint64, change func(*config.Config) (*config.Config, error)) (Result, error) {
	var result Result
	var err error
	for try := range updateAttempts {
		if try > 0 && !pauseBefore(ctx, try) {
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
	wanted, err := change(current.Config)
	if err != nil {
		return refused, err
	}
	expected := current.Root.Version
	return p.Publish(ctx, Request{Config: wanted, Expect: &expected, Floor: floor})
}
