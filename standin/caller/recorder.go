package caller

import (
	"context"
	"net"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are kept in microseconds.
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
	mu        sync.Mutex
	start     time.Time
	counts    [outcomeCount]uint64
	repeats   uint64
	bytes     int64
	lines     uint64
	histogram *hdr.Histogram
	connect   *hdr.Histogram
	second    *hdr.Histogram
	current   Second
	series    []Second
	samples   []Sample
}

// maxSamples bounds the failures of which details are kept.
const maxSamples = 20

// Sample is one request or flow that did not end with a whole answer.
type Sample struct {
	Outcome Outcome       `json:"outcome"`
	After   time.Duration `json:"after_ns"`
	Server  string        `json:"server,omitempty"`
	Key     string        `json:"key,omitempty"`
	Detail  string        `json:"detail"`
}

// Second is what ended in one second of the run.
type Second struct {
	Second   int    `json:"second"`
	Answered uint64 `json:"answered"`
	NotRun   uint64 `json:"not_run"`
	Unknown  uint64 `json:"unknown"`
	Failed   uint64 `json:"failed"`
	Lines    uint64 `json:"lines"`
	// P50 and P99 are latencies of whole answers in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

func newRecorder(start time.Time) *recorder {
	return &recorder{
		start:     start,
		histogram: hdr.New(minLatency, maxLatency, significantDigits),
		connect:   hdr.New(minLatency, maxLatency, significantDigits),
		second:    hdr.New(minLatency, maxLatency, secondDigits),
	}
}

// end records how a request ended and how long it took from its arrival.
func (r *recorder) end(res result, key string, latency time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	r.counts[res.outcome]++
	r.bytes += res.bytes
	switch res.outcome {
	case OutcomeAnswered:
		r.current.Answered++
		_ = r.histogram.RecordValue(latency.Microseconds())
		_ = r.second.RecordValue(latency.Microseconds())
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

// connected records how long it took to establish a flow.
func (r *recorder) connected(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.connect.RecordValue(took.Microseconds())
}

// timed returns a dialer that records how long flows take to be established.
func (r *recorder) timed(dial dialer) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		began := time.Now()
		conn, err := dial(ctx, network, address)
		if err == nil {
			r.connected(time.Since(began))
		}
		return conn, err
	}
}

// line records a line of a status stream.
func (r *recorder) line(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	r.lines++
	r.current.Lines++
}

// repeat records a further try of a request.
func (r *recorder) repeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeats++
}

// roll closes the seconds that have passed. The caller holds mu.
func (r *recorder) roll(now time.Time) {
	second := int(now.Sub(r.start) / time.Second)
	for r.current.Second < second {
		r.closeSecond()
	}
}

func (r *recorder) closeSecond() {
	r.current.P50 = milliseconds(r.second.ValueAtPercentile(percentile50))
	r.current.P99 = milliseconds(r.second.ValueAtPercentile(percentile99))
	r.series = append(r.series, r.current)
	r.current = Second{Second: r.current.Second + 1}
	r.second.Reset()
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}

// report returns what was recorded until now.
func (r *recorder) report(now time.Time) ClassReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	r.closeSecond()
	report := ClassReport{
		Retries: r.repeats,
		Bytes:   r.bytes,
		Lines:   r.lines,
		P50:     milliseconds(r.histogram.ValueAtPercentile(percentile50)),
		P99:     milliseconds(r.histogram.ValueAtPercentile(percentile99)),
		P999:    milliseconds(r.histogram.ValueAtPercentile(percentile999)),
		Max:     milliseconds(r.histogram.Max()),
		Connect: ConnectReport{
			Flows: uint64(r.connect.TotalCount()),
			P50:   milliseconds(r.connect.ValueAtPercentile(percentile50)),
			P99:   milliseconds(r.connect.ValueAtPercentile(percentile99)),
			Max:   milliseconds(r.connect.Max()),
		},
		Series:  r.series,
		Samples: r.samples,
	}
	report.fill(r.counts)
	return report
}
