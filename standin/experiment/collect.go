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

// collectInterval is the interval between reads of the execution logs. If a server is
// killed, at most this much of its log is lost.
const collectInterval = 250 * time.Millisecond

// collector collects the execution logs of backend servers while they run.
type collector struct {
	urls []string
	logs map[instanceID]*server.ExecutionLog
	// responded holds, for each URL, whether it has ever responded.
	responded map[string]bool
}

// instanceID identifies one instance (process run) of a server.
type instanceID struct {
	server, instance string
}

func newCollector(urls []string) *collector {
	return &collector{urls: urls, logs: make(map[instanceID]*server.ExecutionLog), responded: make(map[string]bool)}
}

// run collects until ctx is canceled.
func (c *collector) run(ctx context.Context) {
	for fault.Sleep(ctx, collectInterval) {
		c.collect(ctx)
	}
}

// collect reads the log entries added since the last call.
func (c *collector) collect(ctx context.Context) {
	for _, url := range c.urls {
		c.collectOne(ctx, url)
	}
}

func (c *collector) collectOne(ctx context.Context, url string) {
	head, err := fetchLog(ctx, url, afterAllEntries)
	if err != nil {
		return
	}
	c.responded[url] = true
	id := instanceID{head.Server, head.Instance}
	known, ok := c.logs[id]
	if !ok {
		known = head
		c.logs[id] = known
	}
	added, err := fetchLog(ctx, url, uint64(len(known.Executions)))
	if err != nil || added.Instance != id.instance {
		return
	}
	known.Executions = append(known.Executions, added.Executions...)
	known.Truncated = added.Truncated
}

// afterAllEntries is a sequence number beyond any log, which requests a log without
// entries.
const afterAllEntries = 1 << 62

func fetchLog(ctx context.Context, url string, after uint64) (*server.ExecutionLog, error) {
	var log server.ExecutionLog
	err := fetch(ctx, url+"/fault/executions?after="+strconv.FormatUint(after, 10), &log)
	return &log, err
}

// fetch reads a JSON document from a URL.
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

// all returns the collected logs.
func (c *collector) all() []*server.ExecutionLog {
	logs := make([]*server.ExecutionLog, 0, len(c.logs))
	for _, log := range c.logs {
		logs = append(logs, log)
	}
	return logs
}

// missing returns the URLs that never responded.
func (c *collector) missing() []string {
	missing := []string{}
	for _, url := range c.urls {
		if !c.responded[url] {
			missing = append(missing, url)
		}
	}
	return missing
}
