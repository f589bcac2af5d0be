package publish

import (
	"context"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
	"bergamotbank/version/store"
)

// Outcome is the outcome of an operation.
type Outcome string

// The outcomes of an operation.
const (
	// Accepted means that the operation made a version.
	Accepted Outcome = "accepted"
	// Unchanged means that the store already holds the same content.
	Unchanged Outcome = "unchanged"
	// Refused means that the operation has not made a version and never will.
	Refused Outcome = "refused"
	// Unknown means that the operation may or may not make a version.
	Unknown Outcome = "unknown"
)

// maxAttempts is the maximum number of attempts of an operation, and of a write of a
// section. An operation is attempted again only if it certainly made no version.
const maxAttempts = 5

// Request is an operation requested by an operator.
type Request struct {
	// Config is the desired content.
	Config *config.Config
	// Operation identifies the operation. If empty, a new identifier is generated. An
	// operation with a given identifier may have been attempted before, so it is
	// Refused only if the store shows that no attempt has made a version.
	Operation string
	// Expect is the version that must be current; nil means any.
	Expect *uint64
	// Floor is the highest version known to be active. The new version is above it
	// even if the store has lost that version.
	Floor uint64
	// Repair replaces a root that cannot be decoded.
	Repair bool
	// mayRepeat is true if the operation may have been attempted by an earlier call.
	mayRepeat bool
}

// Result is the result of a Request.
type Result struct {
	// Outcome is the outcome of the operation.
	Outcome Outcome `json:"outcome"`
	// Operation identifies the operation.
	Operation string `json:"operation"`
	// Version is the version made, or the current one if unchanged; 0 for other
	// outcomes.
	Version uint64 `json:"version"`
	// Current is the version that the store held when last read.
	Current uint64 `json:"current"`
	// Changes lists the differences between the store's content and the desired one.
	Changes []config.Change `json:"changes"`
	// Published is the complete version that was made, or nil if this call made
	// none.
	Published *Version `json:"-"`
	// Unverified is the reason for which the store may lack sections of the version that
	// was made; empty if it has them all.
	Unverified string `json:"unverified,omitempty"`
	// NewTexts holds the texts that the previous version lacks.
	NewTexts Texts `json:"-"`
}

// Publisher publishes versions.
type Publisher struct {
	client *store.Client
	// beforeRootWrite is a test hook called between the writes of the sections and
	// the write of the root.
	beforeRootWrite func()
}

// New returns a Publisher that writes through client.
func New(client *store.Client) *Publisher {
	return &Publisher{client: client, beforeRootWrite: func() {}}
}

// base is the state of the store on which an attempt is based.
type base struct {
	version Version
	index   uint64
}

// Publish makes the desired content the current version. The error is nil for the
// outcomes Accepted and Unchanged. With the outcome Refused its kind is Conflict if
// another version is current, StoreUnavailable, TooLarge, or that of an invalid
// version in the store. With the outcome Unknown it is OutcomeUnknown, and the same
// Operation may be published again.
func (p *Publisher) Publish(ctx context.Context, req Request) (Result, error) {
	req.mayRepeat = req.Operation != ""
	if !req.mayRepeat {
		req.Operation = NewOperationID()
	}
	result := Result{Outcome: Refused, Operation: req.Operation}
	for range maxAttempts {
		retry, err := p.attempt(ctx, req, &result)
		if !retry {
			p.verifySections(ctx, &result)
			return result, err
		}
	}
	return result, errkind.New(errkind.Conflict, "operation %s: the root changed during each of %d attempts", req.Operation, maxAttempts)
}

// attempt makes one attempt to publish. retry is true if the operation certainly
// made no version and another attempt is allowed.
func (p *Publisher) attempt(ctx context.Context, req Request, result *Result) (retry bool, err error) {
	b, err := p.readBase(ctx, req)
	if err != nil {
		return false, req.unresolved(err, result)
	}
	result.Current = b.version.Root.Version
	result.Changes = config.Diff(b.version.Config, req.Config)
	if version, found := b.version.Root.findOperation(req.Operation); found {
		result.accept(version)
		return false, nil
	}
	if err := req.checkExpected(b, result); err != nil {
		return false, err
	}
	built, newSections, err := p.buildVersion(req, b)
	if err != nil {
		return false, err
	}
	if len(newSections) == 0 && req.Floor <= result.Current && sameSections(b.version.Root, built.Root) {
		result.Outcome = Unchanged
		result.Version = result.Current
		return false, nil
	}
	result.NewTexts = make(Texts, len(newSections))
	for _, s := range newSections {
		result.NewTexts[s.hash] = s.text
	}
	if err := p.writeSections(ctx, built.Root, newSections); err != nil {
		return false, req.unresolved(err, result)
	}
	p.beforeRootWrite()
	return p.writeRoot(ctx, req, b, built, result)
}

func (r *Result) accept(version uint64) {
	r.Outcome = Accepted
	r.Version = version
}

func (req Request) checkExpected(b base, result *Result) error {
	current := b.version.Root.Version
	if req.Expect == nil || *req.Expect == current {
		return nil
	}
	err := errkind.New(errkind.Conflict, "version %d is current, not the expected %d", current, *req.Expect)
	if b.version.Root.hasEvicted(*req.Expect + 1) {
		return req.unresolved(err, result)
	}
	return err
}

// readBase reads the current version. An invalid version may be replaced only if its
// root can be decoded or the request has Repair set.
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

// buildVersion returns the desired version and the sections that the store lacks.
func (p *Publisher) buildVersion(req Request, b base) (Version, []section, error) {
	previous := make(map[Hash]string)
	if b.version.Config != nil {
		for _, s := range b.version.Root.Sections {
			previous[s.Hash] = s.Writer
		}
	}
	root := Root{
		Format:    rootFormat,
		Version:   max(b.version.Root.Version, req.Floor) + 1,
		Operation: req.Operation,
		Epoch:     b.version.Root.Epoch,
	}
	root.Recent = root.appendRecent(b.version.Root.Recent)
	texts := make(Texts)
	var newSections []section
	// Each attempt uses its own keys, so that neither another writer nor the garbage
	// collection of sections modifies them.
	writer := NewOperationID()
	for _, s := range split(req.Config, serviceGroups) {
		if len(s.text) > store.MaxValueBytes {
			return Version{}, nil, errkind.New(errkind.TooLarge, "section %s has %d bytes, the maximum is %d", s.name, len(s.text), store.MaxValueBytes)
		}
		ref := SectionRef{Name: s.name, Hash: s.hash, Writer: previous[s.hash]}
		if ref.Writer == "" {
			ref.Writer = writer
			newSections = append(newSections, s)
		}
		texts[s.hash] = s.text
		root.Sections = append(root.Sections, ref)
	}
	built, err := Assemble(root, texts)
	return built, newSections, err
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

// writeSections writes the new sections. The root does not refer to them yet, so a
// failure leaves the version unchanged.
func (p *Publisher) writeSections(ctx context.Context, root Root, newSections []section) error {
	keys := make(map[Hash]string, len(root.Sections))
	for _, s := range root.Sections {
		keys[s.Hash] = s.Key()
	}
	for _, s := range newSections {
		if err := p.writeSection(ctx, keys[s.hash], s.text); err != nil {
			return errkind.Wrap(err, errkind.StoreUnavailable, "write section %s; this attempt made no version", s.name)
		}
	}
	return nil
}

// verifySections writes the new sections of a published version again that the store
// no longer has. If it was restored from an older copy after they were written, the
// root still took effect, since the copy has the root that it replaced.
func (p *Publisher) verifySections(ctx context.Context, result *Result) {
	if result.Published == nil {
		return
	}
	for _, s := range result.Published.Root.Sections {
		text, isNew := result.NewTexts[s.Hash]
		if !isNew {
			continue
		}
		entry, err := p.client.Get(ctx, s.Key())
		if err == nil && !entry.Exists() {
			err = p.writeSection(ctx, s.Key(), text)
		}
		if err != nil {
			result.Unverified = err.Error()
			return
		}
	}
}

// writeSection writes a section and repeats the write if it gets no response. Only
// this attempt uses the key, so a conflict means that an earlier write took effect.
func (p *Publisher) writeSection(ctx context.Context, key string, text []byte) error {
	var err error
	for try := range maxAttempts {
		if try > 0 && !backOff(ctx, try) {
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

// writeRoot writes the root, which commits the operation.
func (p *Publisher) writeRoot(ctx context.Context, req Request, b base, built Version, result *Result) (retry bool, err error) {
	value, err := EncodeRoot(built.Root)
	if err != nil {
		return false, err
	}
	err = p.client.CompareAndSwap(ctx, RootKey, value, b.index)
	switch {
	case err == nil:
		result.accept(built.Root.Version)
		result.Published = &built
		p.maybeCollect(ctx, built.Root.Version)
		return false, nil
	case errkind.Is(err, errkind.Conflict):
		return p.handleConflict(ctx, req, b, built, result)
	case errkind.Is(err, errkind.OutcomeUnknown):
		return p.resolveOutcome(ctx, b, built, result)
	default:
		return false, req.unresolved(errkind.Wrap(err, errkind.Of(err), "write the root; this attempt made no version"), result)
	}
}

// maybeCollect collects unreferenced sections every collectInterval versions.
// Errors are ignored, since they do not affect the operation.
func (p *Publisher) maybeCollect(ctx context.Context, version uint64) {
	if version%collectInterval == 0 {
		_, _ = p.Collect(ctx)
	}
}

// backOff waits before a repeated call. It returns false if ctx is done first.
func backOff(ctx context.Context, try int) bool {
	timer := time.NewTimer(time.Duration(try) * retryBackoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// retryBackoff is the delay before the first repeated call; it grows linearly.
const retryBackoff = 100 * time.Millisecond
