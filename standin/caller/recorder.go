package caller

import (
	"context"
	"net"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded in microseconds.
	minLatency        = 1
	maxLatency        = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	secondDigits      = 2
	percentile50      = 50
	percentile99      = 99
	percentile999     = 99.9
)

// recorder collects the outcomes of one class of requests. It is safe for
// concurrent use.
type recorder struct {
	mu               sync.Mutex
	start            time.Time
	counts           [outcomeCount]uint64
	retries          uint64
	bytes            int64
	lines            uint64
	latencies        *hdr.Histogram
	connectLatencies *hdr.Histogram
	secondLatencies  *hdr.Histogram
	current          Second
	series           []Second
	samples          []Sample
}

// maxSamples is the maximum number of failures recorded with details.
const maxSamples = 20

// Sample is one request or flow that ended without a complete response.
type Sample struct {
	Outcome Outcome       `json:"outcome"`
	After   time.Duration `json:"after_ns"`
	Server  string        `json:"server,omitempty"`
	Key     string        `json:"key,omitempty"`
	Detail  string        `json:"detail"`
}

// Second holds the outcomes in one second of the run.
type Second struct {
	Second   int    `json:"second"`
	Answered uint64 `json:"answered"`
	NotRun   uint64 `json:"not_run"`
	Unknown  uint64 `json:"unknown"`
	Failed   uint64 `json:"failed"`
	Lines    uint64 `json:"lines"`
	// P50 and P99 are latencies of complete responses in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

func newRecorder(start time.Time) *recorder {
	return &recorder{
		start:            start,
		latencies:        hdr.New(minLatency, maxLatency, significantDigits),
		connectLatencies: hdr.New(minLatency, maxLatency, significantDigits),
		secondLatencies:  hdr.New(minLatency, maxLatency, secondDigits),
	}
}

// recordOutcome records the outcome of a request and its latency since arrival.
func (r *recorder) recordOutcome(res result, key string, latency time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.counts[res.outcome]++
	r.bytes += res.bytes
	switch res.outcome {
	case OutcomeAnswered:
		r.current.Answered++
		_ = r.latencies.RecordValue(latency.Microseconds())
		_ = r.secondLatencies.RecordValue(latency.Microseconds())
		return
	case OutcomeNotRun:
		r.current.NotRun++
	case OutcomeUnknown:
		r.current.Unknown++
	default:
		r.current.Failed++
	}
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, Sample{
			Outcome: res.outcome,
			After:   now.Sub(r.start),
			Server:  res.server,
			Key:     key,
			Detail:  res.detail,
		})
	}
}

// recordConnect records the time to establish a flow.
func (r *recorder) recordConnect(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.connectLatencies.RecordValue(elapsed.Microseconds())
}

// timeDials returns a dial function that records the time to establish each flow.
func (r *recorder) timeDials(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		started := time.Now()
		conn, err := dial(ctx, network, address)
		if err == nil {
			r.recordConnect(time.Since(started))
		}
		return conn, err
	}
}

// recordLine records a line of a status stream or an echo flow.
func (r *recorder) recordLine(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.lines++
	r.current.Lines++
}

// recordRetry records a retry of a request.
func (r *recorder) recordRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries++
}

// advance closes the seconds that have passed. The calling function holds mu.
func (r *recorder) advance(now time.Time) {
	second := int(now.Sub(r.start) / time.Second)
	for r.current.Second < second {
		r.closeSecond()
	}
}

func (r *recorder) closeSecond() {
	r.current.P50 = milliseconds(r.secondLatencies.ValueAtPercentile(percentile50))
	r.current.P99 = milliseconds(r.secondLatencies.ValueAtPercentile(percentile99))
	r.series = append(r.series, r.current)
	r.current = Second{Second: r.current.Second + 1}
	r.secondLatencies.Reset()
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}

// report returns the report of the class up to now.
func (r *recorder) report(now time.Time) ClassReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	r.closeSecond()
	report := ClassReport{
		Retries: r.retries,
		Bytes:   r.bytes,
		Lines:   r.lines,
		P50:     milliseconds(r.latencies.ValueAtPercentile(percentile50)),
		P99:     milliseconds(r.latencies.ValueAtPercentile(percentile99)),
		P999:    milliseconds(r.latencies.ValueAtPercentile(percentile999)),
		Max:     milliseconds(r.latencies.Max()),
		Connect: ConnectReport{
			Flows: uint64(r.connectLatencies.TotalCount()),
			P50:   milliseconds(r.connectLatencies.ValueAtPercentile(percentile50)),
			P99:   milliseconds(r.connectLatencies.ValueAtPercentile(percentile99)),
			Max:   milliseconds(r.connectLatencies.Max()),
		},
		Series:  r.series,
		Samples: r.samples,
	}
	report.setCounts(r.counts)
	return report
}
