package passthrough

import (
	"sync"

	"go.uber.org/zap"
)

// eraTracker keeps the latest era of the store that this process knows of, from the responses
// of the store and the versions of other members.
type eraTracker struct {
	logger *zap.Logger

	mu    sync.Mutex
	known bool
	era   uint64
	// restorations counts the changes of era since the start of the process.
	restorations uint64
	// restored is closed when the next era becomes known.
	restored chan struct{}
}

func newEraTracker(logger *zap.Logger) *eraTracker {
	return &eraTracker{logger: logger, restored: make(chan struct{})}
}

// current returns the latest era, 0 if none is known, and a channel that is closed when the
// next one becomes known.
func (t *eraTracker) current() (era uint64, restored <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era, t.restored
}

// observe records an era.
func (t *eraTracker) observe(era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && era <= t.era {
		return
	}
	if t.known {
		t.restorations++
		t.logger.Warn("store was restored from an older copy", zap.Uint64("era", era), zap.Uint64("previous_era", t.era))
	}
	t.known, t.era = true, era
	close(t.restored)
	t.restored = make(chan struct{})
}

// eraMetrics are the published metrics of an eraTracker.
type eraMetrics struct {
	Era          uint64 `json:"era"`
	Restorations uint64 `json:"restorations"`
}

func (t *eraTracker) metrics() eraMetrics {
	t.mu.Lock()
	defer t.mu.Unlock()
	return eraMetrics{t.era, t.restorations}
}
