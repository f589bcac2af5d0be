package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"sort"

	"bergamotbank/errkind"
	"bergamotbank/standin/caller"
	"bergamotbank/standin/server"
)

// Joined compares what callers were told with what backend servers ran.
type Joined struct {
	// Requests is the number of requests with a key.
	Requests int `json:"requests"`
	// Executions is the number of runs that the servers logged.
	Executions int `json:"executions"`
	// RunTwice holds the keys that ran more than once.
	RunTwice []string `json:"run_twice"`
	// UntrueNotRun holds the tries that were refused with the promise "not run"
	// and ran.
	UntrueNotRun []string `json:"untrue_not_run"`
	// AnsweredNotRun holds the keys that were answered though no server logged
	// a run. A server that was killed may have taken its log along.
	AnsweredNotRun []string `json:"answered_not_run"`
	// Stray is the number of runs under a key that no caller used.
	Stray int `json:"stray"`
	// TruncatedLogs is the number of execution logs that were full.
	TruncatedLogs int `json:"truncated_logs"`
}

// runs holds how often keys and single tries ran.
type runs struct {
	byKey map[string]int
	byTry map[string]int
}

// Join compares the requests of callers with the logs of servers.
func Join(requests []caller.RequestEntry, logs []*server.ExecutionLog) Joined {
	joined := Joined{RunTwice: []string{}, UntrueNotRun: []string{}, AnsweredNotRun: []string{}}
	ran := joined.countRuns(logs)
	for _, request := range requests {
		if !request.Keyed {
			continue
		}
		joined.Requests++
		joined.check(request, ran)
		delete(ran.byKey, request.Key)
	}
	for _, count := range ran.byKey {
		joined.Stray += count
	}
	sort.Strings(joined.RunTwice)
	sort.Strings(joined.UntrueNotRun)
	sort.Strings(joined.AnsweredNotRun)
	return joined
}

func (j *Joined) countRuns(logs []*server.ExecutionLog) runs {
	ran := runs{byKey: make(map[string]int), byTry: make(map[string]int)}
	for _, log := range logs {
		if log.Truncated {
			j.TruncatedLogs++
		}
		for _, execution := range log.Executions {
			j.Executions++
			ran.byKey[execution.Key]++
			ran.byTry[execution.Request]++
		}
	}
	return ran
}

func (j *Joined) check(request caller.RequestEntry, ran runs) {
	count := ran.byKey[request.Key]
	if count > 1 {
		j.RunTwice = append(j.RunTwice, request.Key)
	}
	refused := true
	for i, outcome := range request.Outcomes {
		try := request.Try(i)
		if outcome == caller.OutcomeNotRun && ran.byTry[try] > 0 {
			j.UntrueNotRun = append(j.UntrueNotRun, try)
		}
		refused = refused && outcome == caller.OutcomeNotRun
	}
	last := request.Outcomes[len(request.Outcomes)-1]
	switch {
	case refused && count > 0 && !j.lists(request):
		j.UntrueNotRun = append(j.UntrueNotRun, request.Key)
	case last == caller.OutcomeAnswered && count == 0:
		j.AnsweredNotRun = append(j.AnsweredNotRun, request.Key)
	}
}

// lists tells whether a try of the request is the newest untrue refusal.
func (j *Joined) lists(request caller.RequestEntry) bool {
	if len(j.UntrueNotRun) == 0 {
		return false
	}
	newest := j.UntrueNotRun[len(j.UntrueNotRun)-1]
	for i := range request.Outcomes {
		if newest == request.Try(i) {
			return true
		}
	}
	return false
}

// readRequests reads a request log.
func readRequests(path string) ([]caller.RequestEntry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "request log")
	}
	defer func() { _ = file.Close() }()
	var entries []caller.RequestEntry
	decoder := json.NewDecoder(bufio.NewReader(file))
	for {
		var entry caller.RequestEntry
		err := decoder.Decode(&entry)
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Malformed, "request log %s", path)
		}
		entries = append(entries, entry)
	}
}
