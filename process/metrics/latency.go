package metrics

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestLatency and highestLatency are the bounds of the histogram, in
	// microseconds. Values outside of them are recorded as the nearest bound.
	lowestLatency  = 1
	highestLatency = 60_000_000
	// latencyDigits is the precision in significant digits.
	latencyDigits = 2
)

// Latency is a histogram of durations. It is safe for concurrent use.
type Latency struct {
	mu        sync.Mutex
	histogram *hdr.Histogram
}

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{histogram: hdr.New(lowestLatency, highestLatency, latencyDigits)}
}

// Record adds a duration.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue cannot fail for a value within the bounds.
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), lowestLatency), highestLatency))
}

// LatencySummary is the published form of a histogram, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Summary returns the percentiles of all recorded durations.
func (l *Latency) Summary() LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(q float64) float64 { return float64(l.histogram.ValueAtQuantile(q)) / 1000 }
	return LatencySummary{
		Count: l.histogram.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		Max:   float64(l.histogram.Max()) / 1000,
	}
}
