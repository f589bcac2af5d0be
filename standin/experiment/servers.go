package experiment

import (
	"context"
	"sort"
	"time"

	"bergamotbank/standin/caller"
	"bergamotbank/standin/server"
)

// ServerReport holds the counters of one backend server and the ratio of its load to
// its capacity. It is read at the end of the experiment, so that servers that have
// terminated by then are missing.
type ServerReport struct {
	Server   string          `json:"server"`
	Service  string          `json:"service"`
	Counters server.Counters `json:"counters"`
	// MaxColdRatio and MaxWarmRatio are the largest ratios of running and waiting
	// requests to the capacity of the server in that state.
	MaxColdRatio float64 `json:"max_cold_share"`
	MaxWarmRatio float64 `json:"max_warm_share"`

	ratios caller.Series
}

// readServerReports reads the counters and histories of the servers that respond.
func readServerReports(ctx context.Context, urls []string, start time.Time) []ServerReport {
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
		report.addRatios(history, start)
		reports = append(reports, report)
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Server < reports[j].Server })
	return reports
}

// addRatios adds the load ratios since the start of the experiment.
func (r *ServerReport) addRatios(history server.History, start time.Time) {
	r.ratios.Name = history.Server
	for _, sample := range history.Samples {
		if sample.At.Before(start) || sample.Capacity == 0 {
			continue
		}
		ratio := float64(sample.Peak) / float64(sample.Capacity)
		switch sample.State {
		case server.StateCold:
			r.MaxColdRatio = max(r.MaxColdRatio, ratio)
		case server.StateWarm:
			r.MaxWarmRatio = max(r.MaxWarmRatio, ratio)
		default:
		}
		r.ratios.Points = append(r.ratios.Points, caller.Point{Second: sample.At.Sub(start).Seconds(), Value: ratio})
	}
}
