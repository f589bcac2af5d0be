package publish

import (
	"context"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
	"bergamotbank/version/store"
)

// Outcome tells what became of an operation.
type Outcome string

// The outcomes of an operation.
const (
	// Accepted means that the operation made a version.
	Accepted Outcome = "accepted"
	// Unchanged means that the store holds the same content already.
	Unchanged Outcome = "unchanged"
	// Refused means that the operation made no version and never will.
	Refused Outcome = "refused"
	// Unknown means that the operation may or may not make a version.
	Unknown Outcome = "unknown"
)

// attempts bounds how often an operation that certainly made no version is
// started over.
const attempts = 5

// Request is one operation of an operator.
type Request struct {
	// Config is the wanted content.
	Config *config.Config
	// Operation identifies the operation; empty stands for a new one.
	Operation string
	// Expect is the version that must be current; nil accepts any.
	Expect *uint64
	// Floor is the highest version known to be in force; the new version is
	// above it though the store has lost it.
	Floor uint64
	// Repair replaces a root that cannot be read.
	Repair bool
}

// Result tells what became of a Request.
type Result struct {
	// Outcome tells whether the operation made a version.
	Outcome Outcome `json:"outcome"`
	// Operation identifies the operation.
	Operation string `json:"operation"`
	// Version is the version made or found equal; 0 for other outcomes.
	Version uint64 `json:"version"`
	// Current is the version that the store held when last read.
	Current uint64 `json:"current"`
	// Changes lists the difference from the store's content to the wanted one.
	Changes []config.Change `json:"changes"`
	// Published is the complete version that was made, nil unless accepted just now.
	Published *Version `json:"-"`
	// NewTexts holds the texts that the version before lacks.
	NewTexts Texts `json:"-"`
}

// Publisher publishes versions.
type Publisher struct {
	client *store.Client
	// beforeRoot runs between the writes of the sections and of the root.
	beforeRoot func()
}

// New returns a Publisher that writes through client.
func New(client *store.Client) *Publisher {
	return &Publisher{client: client, beforeRoot: func() {}}
}

// base is the state of the store that an attempt builds on.
type base struct {
	version Version
	index   uint64
}

// Publish makes the wanted content the current version. The error is nil for
// the outcomes Accepted and Unchanged. With the outcome Refused its kind is
// Conflict when another version is current, StoreUnavailable, TooLarge, or that
// of a broken version in the store; with the outcome Unknown it is
// OutcomeUnknown, and the same Operation may be published again.
func (p *Publisher) Publish(ctx context.Context, req Request) (Result, error) {
	if req.Operation == "" {
		req.Operation = NewOperationID()
	}
	result := Result{Outcome: Refused, Operation: req.Operation}
	for range attempts {
		again, err := p.attempt(ctx, req, &result)
		if !again {
			return result, err
		}
	}
	return result, errkind.New(errkind.Conflict, "operation %s: the root changed during each of %d attempts", req.Operation, attempts)
}

// attempt publishes once. again is true when the operation certainly made no
// version and nothing speaks against another attempt.
func (p *Publisher) attempt(ctx context.Context, req Request, result *Result) (again bool, err error) {
	b, err := p.readBase(ctx, req)
	if err != nil {
		return false, err
	}
	result.Current = b.version.Root.Version
	result.Changes = config.Diff(b.version.Config, req.Config)
	if version, found := b.version.Root.find(req.Operation); found {
		result.accept(version)
		return false, nil
	}
	if err := req.check(b); err != nil {
		return false, err
	}
	made, fresh, err := p.prepare(req, b)
	if err != nil {
		return false, err
	}
	if len(fresh) == 0 && req.Floor <= result.Current && sameSections(b.version.Root, made.Root) {
		result.Outcome = Unchanged
		result.Version = result.Current
		return false, nil
	}
	result.NewTexts = make(Texts, len(fresh))
	for _, s := range fresh {
		result.NewTexts[s.hash] = s.text
	}
	if err := p.writeSections(ctx, made.Root, fresh); err != nil {
		return false, err
	}
	p.beforeRoot()
	return p.writeRoot(ctx, b, made, result)
}

func (r *Result) accept(version uint64) {
	r.Outcome = Accepted
	r.Version = version
}

func (req Request) check(b base) error {
	current := b.version.Root.Version
	if req.Expect != nil && *req.Expect != current {
		return errkind.New(errkind.Conflict, "version %d is current, not the expected %d", current, *req.Expect)
	}
	return nil
}

// readBase reads the current version. A broken one is replaced only when its
// root is readable or the request says so.
func (p *Publisher) readBase(ctx context.Context, req Request) (base, error) {
	v, entry, err := loadEntry(ctx, p.client, nil)
	b := base{version: v, index: entry.ModifyIndex}
	if err == nil {
		return b, nil
	}
	if entry.Exists() && !errkind.Is(err, errkind.StoreUnavailable) && (v.Root.Version > 0 || req.Repair) {
		return b, nil
	}
	return base{}, err
}

// prepare returns the wanted version and the sections that the store lacks.
func (p *Publisher) prepare(req Request, b base) (Version, []section, error) {
	previous := make(map[Hash]string)
	if b.version.Config != nil {
		for _, s := range b.version.Root.Sections {
			previous[s.Hash] = s.Writer
		}
	}
	root := Root{
		Format:    format,
		Version:   max(b.version.Root.Version, req.Floor) + 1,
		Operation: req.Operation,
		Epoch:     b.version.Root.Epoch,
	}
	root.Recent = root.remember(b.version.Root.Recent)
	texts := make(Texts)
	var fresh []section
	// A key of its own for each attempt: neither another writer nor the
	// collection of unreferenced sections touches it.
	writer := NewOperationID()
	for _, s := range split(req.Config, serviceGroups) {
		if len(s.text) > store.MaxValueBytes {
			return Version{}, nil, errkind.New(errkind.TooLarge, "section %s: %d bytes, at most %d are allowed", s.name, len(s.text), store.MaxValueBytes)
		}
		ref := SectionRef{Name: s.name, Hash: s.hash, Writer: previous[s.hash]}
		if ref.Writer == "" {
			ref.Writer = writer
			fresh = append(fresh, s)
		}
		texts[s.hash] = s.text
		root.Sections = append(root.Sections, ref)
	}
	made, err := Assemble(root, texts)
	return made, fresh, err
}

func sameSections(a, b Root) bool {
	if len(a.Sections) != len(b.Sections) {
		return false
	}
	for i := range a.Sections {
		if a.Sections[i].Name != b.Sections[i].Name || a.Sections[i].Hash != b.Sections[i].Hash {
			return false
		}
	}
	return true
}

// writeSections writes the fresh sections. Nothing refers to them yet, so a
// failure is a refusal.
func (p *Publisher) writeSections(ctx context.Context, root Root, fresh []section) error {
	keys := make(map[Hash]string, len(root.Sections))
	for _, s := range root.Sections {
		keys[s.Hash] = s.Key()
	}
	for _, s := range fresh {
		if err := p.writeSection(ctx, keys[s.hash], s.text); err != nil {
			return errkind.Wrap(err, errkind.StoreUnavailable, "section %s, nothing changed", s.name)
		}
	}
	return nil
}

// writeSection repeats a write without an answer: the key belongs to this
// attempt alone, so a conflict means that an earlier write took effect.
func (p *Publisher) writeSection(ctx context.Context, key string, text []byte) error {
	var err error
	for try := range attempts {
		if try > 0 && !pauseBefore(ctx, try) {
			return err
		}
		err = p.client.CompareAndSwap(ctx, key, text, 0)
		if err == nil || errkind.Is(err, errkind.Conflict) {
			return nil
		}
		if errkind.Is(err, errkind.TooLarge) {
			return err
		}
	}
	return err
}

// writeRoot decides the operation.
func (p *Publisher) writeRoot(ctx context.Context, b base, made Version, result *Result) (again bool, err error) {
	value, err := EncodeRoot(made.Root)
	if err != nil {
		return false, err
	}
	err = p.client.CompareAndSwap(ctx, RootKey, value, b.index)
	switch {
	case err == nil:
		result.accept(made.Root.Version)
		result.Published = &made
		p.collectRarely(ctx, made.Root.Version)
		return false, nil
	case errkind.Is(err, errkind.Conflict):
		return p.refused(ctx, b, made, result)
	case errkind.Is(err, errkind.OutcomeUnknown):
		return p.settle(ctx, b, made, result)
	default:
		return false, errkind.Wrap(err, errkind.Of(err), "write of the root, nothing changed")
	}
}

// collectRarely removes unreferenced sections now and then. A failure changes
// nothing about the operation.
func (p *Publisher) collectRarely(ctx context.Context, version uint64) {
	if version%collectInterval == 0 {
		_, _ = p.Collect(ctx)
	}
}

// pauseBefore waits before a repeated call and tells whether ctx is open.
func pauseBefore(ctx context.Context, try int) bool {
	timer := time.NewTimer(time.Duration(try) * repeatPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// repeatPause is the pause before the first repeated call; later ones grow.
const repeatPause = 100 * time.Millisecond
