package experiment

import (
	"context"
	"sort"
	"time"

	"bergamotbank/standin/caller"
	"bergamotbank/standin/server"
)

// ServerReport is what one backend server counted, and how its load compared with
// what it bears. It is read at the end, so that servers that are gone by then
// are missing.
type ServerReport struct {
	Server   string          `json:"server"`
	Service  string          `json:"service"`
	Counters server.Counters `json:"counters"`
	// MaxColdRatio and MaxWarmShare are the largest numbers of requests inside,
	// divided by the number that the server bears in that state.
	MaxColdRatio float64 `json:"max_cold_share"`
	MaxWarmRatio float64 `json:"max_warm_share"`

	shares caller.Series
}

// readServers reads the counters and histories of the servers that answer.
func readServers(ctx context.Context, urls []string, start time.Time) []ServerReport {
	reports := []ServerReport{}
	for _, url := range urls {
		var counters server.Counters
		var history server.History
		if fetch(ctx, url+"/fault/counters", &counters) != nil {
			continue
		}
		if fetch(ctx, url+"/fault/history", &history) != nil {
			continue
		}
		report := ServerReport{Server: history.Server, Service: history.Service, Counters: counters}
		report.compare(history, start)
		reports = append(reports, report)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Server < reports[j].Server })
	return reports
}

// compare fills in the shares since the start of the experiment.
func (r *ServerReport) compare(history server.History, start time.Time) {
	r.shares.Name = history.Server
	for _, sample := range history.Samples {
		if sample.At.Before(start) || sample.Capacity == 0 {
			continue
		}
		share := float64(sample.Peak) / float64(sample.Capacity)
		switch sample.State {
		case server.StateCold:
			r.MaxColdRatio = max(r.MaxColdRatio, share)
		case server.StateWarm:
			r.MaxWarmRatio = max(r.MaxWarmRatio, share)
		default:
		}
		r.shares.Points = append(r.shares.Points, caller.Point{Second: sample.At.Sub(start).Seconds(), Value: share})
	}
}
