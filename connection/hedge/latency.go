package hedge

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowLength and windows give the time for which a measurement counts: 10 to 15 s. A
	// balancer of a small deployment sees a few openings of a service per second.
	windowLength = 5 * time.Second
	windows      = 3
	// minMeasured is the number of measurements below which nothing is hedged.
	minMeasured = 30
	// refreshInterval is the age at which the quantiles are computed again.
	refreshInterval = 250 * time.Millisecond
	// precision is the number of significant digits of a measurement.
	precision = 2
	// minDelayFactor is the least delay in medians. The second copy itself takes about a
	// median to be answered, so an earlier one would mostly lose to the first.
	minDelayFactor = 2
	// maxDelayFactor is the longest delay in medians. A hanging server that gets more than the
	// share of openings above the quantile would otherwise raise the quantile until nothing is
	// hedged.
	maxDelayFactor = 4
)

// latency measures the time from opening packets to the callers' first packets on the opened
// flows. The time of a hedged opening counts from its first packet, so that it stays above the
// delay and the quantile does not fall because of the second copies.
type latency struct {
	quantile  float64
	histogram *hdr.WindowedHistogram
	rotatedAt time.Duration
	// refreshedAt is when median and due were computed; known is false if there are too few
	// measurements.
	refreshedAt, median, due time.Duration
	known                    bool
}

func newLatency(quantile float64) latency {
	return latency{quantile: quantile, histogram: hdr.NewWindowed(windows, 1, attemptLimit.Microseconds(), precision)}
}

// record adds a measurement.
func (l *latency) record(d, now time.Duration) {
	l.rotate(now)
	// The range check of the histogram cannot fail for a value within its bounds.
	_ = l.histogram.Current.RecordValue(min(max(d, time.Microsecond), attemptLimit).Microseconds())
}

// rotate drops measurements that are too old.
func (l *latency) rotate(now time.Duration) {
	if now-l.rotatedAt >= windows*windowLength {
		l.rotatedAt = now - windows*windowLength
	}
	for now-l.rotatedAt >= windowLength {
		l.histogram.Rotate()
		l.rotatedAt += windowLength
	}
}

// delay returns the age at which an opening is due for a second copy, and false if it is not
// known.
func (l *latency) delay(now time.Duration) (time.Duration, bool) {
	if l.refreshedAt == 0 || now-l.refreshedAt >= refreshInterval {
		l.refresh(now)
	}
	return l.due, l.known
}

func (l *latency) refresh(now time.Duration) {
	l.rotate(now)
	l.refreshedAt = now
	merged := l.histogram.Merge()
	l.known = merged.TotalCount() >= minMeasured
	if !l.known {
		return
	}
	at := func(quantile float64) time.Duration {
		return time.Duration(merged.ValueAtQuantile(100*quantile)) * time.Microsecond
	}
	l.median = at(0.5)
	l.due = min(max(at(l.quantile), minDelayFactor*l.median), maxDelayFactor*l.median)
}

// maxTokens is the number of second copies that a balancer may save up. With one, the copies in
// any period are at most the share of the openings in that period, and one.
const maxTokens = 1

// budget is a token bucket that is filled by openings.
type budget struct{ tokens float64 }

func (b *budget) earn(share float64) { b.tokens = min(maxTokens, b.tokens+share) }

func (b *budget) available() bool { return b.tokens >= 1 }

func (b *budget) spend() { b.tokens-- }
