package experiment

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
	"bergamotbank/standin/server"
)

// collectPeriod is the time between two readings of the execution logs. A server
// that is killed takes at most this much of its log along.
const collectPeriod = 250 * time.Millisecond

// collector gathers the execution logs of backend servers while they live.
type collector struct {
	urls []string
	logs map[logID]*server.ExecutionLog
	// reached tells for each URL whether it ever answered.
	reached map[string]bool
}

// logID names one life of one server.
type logID struct {
	server, instance string
}

func newCollector(urls []string) *collector {
	return &collector{urls: urls, logs: make(map[logID]*server.ExecutionLog), reached: make(map[string]bool)}
}

// run collects until ctx ends.
func (c *collector) run(ctx context.Context) {
	for fault.Sleep(ctx, collectPeriod) {
		c.collect(ctx)
	}
}

// collect reads what the logs have got since the last reading.
func (c *collector) collect(ctx context.Context) {
	for _, url := range c.urls {
		c.collectOne(ctx, url)
	}
}

func (c *collector) collectOne(ctx context.Context, url string) {
	head, err := fetchLog(ctx, url, noEntries)
	if err != nil {
		return
	}
	c.reached[url] = true
	id := logID{head.Server, head.Instance}
	known, ok := c.logs[id]
	if !ok {
		known = head
		c.logs[id] = known
	}
	fresh, err := fetchLog(ctx, url, uint64(len(known.Executions)))
	if err != nil || fresh.Instance != id.instance {
		return
	}
	known.Executions = append(known.Executions, fresh.Executions...)
	known.Truncated = fresh.Truncated
}

// noEntries asks for a log without its entries.
const noEntries = 1 << 62

func fetchLog(ctx context.Context, url string, after uint64) (*server.ExecutionLog, error) {
	var log server.ExecutionLog
	err := fetch(ctx, url+"/fault/executions?after="+strconv.FormatUint(after, 10), &log)
	return &log, err
}

// fetch reads JSON from a URL.
func fetch(ctx context.Context, url string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidSettings, "read %s", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errkind.Wrap(err, errkind.PeerUnavailable, "read %s", url)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errkind.New(errkind.PeerUnavailable, "read %s: %s", url, response.Status)
	}
	return errkind.Wrap(json.NewDecoder(response.Body).Decode(value), errkind.Malformed, "read %s", url)
}

// all returns the logs that were gathered.
func (c *collector) all() []*server.ExecutionLog {
	logs := make([]*server.ExecutionLog, 0, len(c.logs))
	for _, log := range c.logs {
		logs = append(logs, log)
	}
	return logs
}

// missing returns the URLs that never answered.
func (c *collector) missing() []string {
	missing := []string{}
	for _, url := range c.urls {
		if !c.reached[url] {
			missing = append(missing, url)
		}
	}
	return missing
}
