package caller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
)

// maxIdleFlows is the maximum number of idle flows kept for reuse.
const maxIdleFlows = 1024

// loadRun is one run of the load generator.
type loadRun struct {
	command  *Command
	dial     dialFunc
	services *serviceTable
	requests *requestLog
	start    time.Time
	prefix   string
	group    sync.WaitGroup
}

// Measure runs the load until its duration has elapsed or ctx is canceled and
// returns the report. The only file that it writes is the request log, if the
// command names one.
func (c *Command) Measure(ctx context.Context) (*Report, error) {
	if err := c.checkFlags(); err != nil {
		return nil, err
	}
	dial, closeNetwork, err := c.openNetwork()
	if err != nil {
		return nil, err
	}
	defer closeNetwork()
	requests, err := newRequestLog(c.Requests)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	l := &loadRun{
		command:  c,
		dial:     dial,
		services: newServiceTable(c.Services),
		requests: requests,
		start:    start,
		prefix:   c.Name + "-" + strconv.FormatInt(start.UnixNano(), 36),
	}
	running, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	collect := l.startAll(running)
	l.group.Wait()
	report := collect()
	c.checkExpectations(report)
	return report, requests.close()
}

// runLoad runs the load, writes the report and returns an error if an expectation
// was not met.
func (c *Command) runLoad(ctx context.Context, log *zap.Logger) error {
	report, err := c.Measure(ctx)
	if err != nil {
		return err
	}
	log.Info("load run finished", zap.Any("totals", report.Totals), zap.Strings("unmet", report.Unmet))
	if err := c.write(report); err != nil {
		return err
	}
	return report.unmetError()
}

// startAll starts every class that the command enables. The returned function
// collects the report after all classes have ended.
func (l *loadRun) startAll(ctx context.Context) func() *Report {
	c := l.command
	report := &Report{Name: c.Name, Seed: c.Seed, Unmet: []string{}}
	var collectors []func(now time.Time)
	collect := func(target **ClassReport, r *recorder) {
		if r == nil {
			return
		}
		collectors = append(collectors, func(now time.Time) {
			class := r.report(now)
			*target = &class
		})
	}
	collect(&report.Orders, l.startClass(ctx, l.newOrderClass("orders", c.Orders, c.OrdersPerSecond, 1)))
	collect(&report.Releases, l.startClass(ctx, l.newOrderClass("releases", c.Releases, c.ReleasesPerSecond, 2)))
	collect(&report.Downloads, l.startClass(ctx, l.newDownloadClass()))
	collect(&report.Status, l.startStreams(ctx))
	collect(&report.Echo, l.startEchoes(ctx))
	return func() *Report {
		now := time.Now()
		for _, f := range collectors {
			f(now)
		}
		report.DurationSeconds = now.Sub(l.start).Seconds()
		report.computeTotals()
		return report
	}
}

// newClient returns a client with its own connection pool, whose flows are
// recorded by r.
func (l *loadRun) newClient(keepAlive bool, r *recorder) *client {
	return &client{
		http:     &http.Client{Transport: newTransport(r.timeDials(l.dial), keepAlive)},
		services: l.services,
	}
}

func (l *loadRun) newOrderClass(name, url string, perSecond float64, stream uint64) *class {
	c := l.command
	r := newRecorder(l.start)
	return &class{
		name:        name,
		method:      http.MethodPost,
		url:         url,
		body:        []byte(c.Body),
		perSecond:   perSecond,
		keyed:       true,
		retryPolicy: c.Retry,
		maxRetries:  c.MaxRetries,
		timeout:     c.Timeout,
		prefix:      l.prefix,
		client:      l.newClient(c.KeepAlive, r),
		recorder:    r,
		requests:    l.requests,
		random:      rand.New(rand.NewPCG(c.Seed, stream)),
		behavior: behavior{
			cancelShare:    c.CancelShare,
			cancelAfter:    c.CancelAfter,
			duplicateShare: c.DuplicateShare,
		},
	}
}

func (l *loadRun) newDownloadClass() *class {
	c := l.command
	r := newRecorder(l.start)
	return &class{
		name:        "downloads",
		method:      http.MethodGet,
		url:         c.Downloads,
		perSecond:   c.DownloadsPerSecond,
		retryPolicy: RetryNever,
		timeout:     c.DownloadTimeout,
		prefix:      l.prefix,
		client:      l.newClient(false, r),
		recorder:    r,
		requests:    l.requests,
		random:      rand.New(rand.NewPCG(c.Seed, 3)),
		behavior:    behavior{bytesPerSecond: c.DownloadRate},
	}
}

// startClass starts a class if it has a URL and a positive rate. Otherwise it
// returns nil.
func (l *loadRun) startClass(ctx context.Context, c *class) *recorder {
	if c.url == "" || c.perSecond <= 0 {
		return nil
	}
	c.inFlight = make(chan struct{}, l.command.MaxInFlight)
	l.group.Go(func() { c.run(ctx) })
	return c.recorder
}

func (l *loadRun) startStreams(ctx context.Context) *recorder {
	c := l.command
	if c.Status == "" || c.Streams <= 0 {
		return nil
	}
	r := newRecorder(l.start)
	shared := l.newClient(false, r)
	l.startRamped(ctx, c.Streams, func(name string) {
		s := &streamClient{url: c.Status, interval: c.StatusInterval, idleTimeout: c.IdleTimeout, client: shared, recorder: r, name: name}
		s.run(ctx)
	})
	return r
}

func (l *loadRun) startEchoes(ctx context.Context) *recorder {
	c := l.command
	if c.Echo == "" || c.EchoFlows <= 0 {
		return nil
	}
	r := newRecorder(l.start)
	l.startRamped(ctx, c.EchoFlows, func(name string) {
		e := &echoClient{address: c.Echo, interval: c.StatusInterval, idleTimeout: c.IdleTimeout, dial: r.timeDials(l.dial), recorder: r, name: name}
		e.run(ctx)
	})
	return r
}

// startRamped starts count long-lived flows, spread evenly over the ramp.
func (l *loadRun) startRamped(ctx context.Context, count int, run func(name string)) {
	step := l.command.Ramp / time.Duration(count)
	for i := range count {
		name := l.prefix + "-flow-" + strconv.Itoa(i)
		l.group.Go(func() {
			if fault.Sleep(ctx, time.Duration(i)*step) {
				run(name)
			}
		})
	}
}

// write writes the report and the plot.
func (c *Command) write(report *Report) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "encode report")
	}
	text = append(text, '\n')
	if c.Report == "" {
		_, err = os.Stdout.Write(text)
	} else {
		err = os.WriteFile(c.Report, text, 0o644)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.Usage, "write report")
	}
	if c.Plot == "" {
		return nil
	}
	return WritePlot(c.Plot, c.Name, SumSeconds(report), nil)
}
