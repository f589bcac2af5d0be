package passthrough

import (
	"sync"

	"go.uber.org/zap"
)

// eraTracker keeps the latest era of the store that this process knows of, from the responses
// of the store.
type eraTracker struct {
	logger *zap.Logger

	mu    sync.Mutex
	known bool
	era   uint64
	// restorations counts the changes of era since the start of the process.
	restorations uint64
}

func newEraTracker(logger *zap.Logger) *eraTracker {
	return &eraTracker{logger: logger}
}

// current returns the latest era, 0 if none is known.
func (t *eraTracker) current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// observe records an era that a response of the store has shown.
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
