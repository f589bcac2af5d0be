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

// JoinResult compares what callers were told with what backend servers ran.
type JoinResult struct {
	// Requests is the number of requests with a key.
	Requests int `json:"requests"`
	// Executions is the number of runs that the servers logged.
	Executions int `json:"executions"`
	// ExecutedTwice holds the keys that ran more than once.
	ExecutedTwice []string `json:"run_twice"`
	// FalseNotRun holds the X-Request-Ids of tries that ran though an answer
	// promised that they did not and never will.
	FalseNotRun []string `json:"untrue_not_run"`
	// AnsweredNotExecuted holds the keys that were answered though no server logged
	// a run. A server that was killed may have taken its log along.
	AnsweredNotExecuted []string `json:"answered_not_run"`
	// Unmatched is the number of runs under a key that no caller used.
	Unmatched int `json:"stray"`
	// TruncatedLogs is the number of execution logs that were full.
	TruncatedLogs int `json:"truncated_logs"`
}

// runs holds how often keys and single tries ran.
type runs struct {
	byKey map[string]int
	byTry map[string]int
}

// Join compares the requests of callers with the logs of servers.
func Join(requests []caller.RequestEntry, logs []*server.ExecutionLog) JoinResult {
	joined := JoinResult{ExecutedTwice: []string{}, FalseNotRun: []string{}, AnsweredNotExecuted: []string{}}
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
		joined.Unmatched += count
	}
	sort.Strings(joined.ExecutedTwice)
	sort.Strings(joined.FalseNotRun)
	sort.Strings(joined.AnsweredNotExecuted)
	return joined
}

func (j *JoinResult) countRuns(logs []*server.ExecutionLog) runs {
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

func (j *JoinResult) check(request caller.RequestEntry, ran runs) {
	count := ran.byKey[request.Key]
	if count > 1 {
		j.ExecutedTwice = append(j.ExecutedTwice, request.Key)
	}
	j.FalseNotRun = append(j.FalseNotRun, untrue(request, ran)...)
	last := request.Outcomes[len(request.Outcomes)-1]
	if last == caller.OutcomeAnswered && count == 0 {
		j.AnsweredNotExecuted = append(j.AnsweredNotExecuted, request.Key)
	}
}

// untrue returns the tries that ran though an answer promised that they did not.
// A refusal "not run" covers all tries until then, but for one sent at the same
// time; the promise for a single try covers only that one.
func untrue(request caller.RequestEntry, ran runs) []string {
	var tries []string
	for i, promised := range promises(request) {
		if promised && ran.byTry[request.AttemptID(i)] > 0 {
			tries = append(tries, request.AttemptID(i))
		}
	}
	return tries
}

// promises tells for each try whether an answer promised that it did not run.
func promises(request caller.RequestEntry) []bool {
	promised := make([]bool, len(request.Outcomes))
	copy(promised, request.AttemptNotRun)
	for i, outcome := range request.Outcomes {
		if outcome != caller.OutcomeNotRun {
			continue
		}
		promised[i] = true
		if request.Duplicated && i < 2 {
			continue
		}
		for earlier := range i {
			promised[earlier] = true
		}
	}
	return promised
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
