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

// JoinResult is the comparison of the responses that callers received with the
// executions on the backend servers.
type JoinResult struct {
	// Requests is the number of requests with a key.
	Requests int `json:"requests"`
	// Executions is the number of executions that the servers logged.
	Executions int `json:"executions"`
	// ExecutedTwice holds the keys that were executed more than once.
	ExecutedTwice []string `json:"run_twice"`
	// FalseNotRun holds the X-Request-Ids of attempts that were executed although a
	// response guaranteed that they did not run and never will.
	FalseNotRun []string `json:"untrue_not_run"`
	// AnsweredNotExecuted holds the keys that got a response although no server
	// logged an execution. The log of a server that was killed may be lost.
	AnsweredNotExecuted []string `json:"answered_not_run"`
	// Unmatched is the number of executions under a key that no caller used.
	Unmatched int `json:"stray"`
	// TruncatedLogs is the number of execution logs that reached their maximum size.
	TruncatedLogs int `json:"truncated_logs"`
}

// executionCounts holds the numbers of executions per key and per attempt.
type executionCounts struct {
	byKey     map[string]int
	byAttempt map[string]int
}

// Join compares the requests of callers with the execution logs of servers.
func Join(requests []caller.RequestEntry, logs []*server.ExecutionLog) JoinResult {
	joined := JoinResult{ExecutedTwice: []string{}, FalseNotRun: []string{}, AnsweredNotExecuted: []string{}}
	counts := joined.countExecutions(logs)
	for _, request := range requests {
		if !request.Keyed {
			continue
		}
		joined.Requests++
		joined.check(request, counts)
		delete(counts.byKey, request.Key)
	}
	for _, count := range counts.byKey {
		joined.Unmatched += count
	}
	sort.Strings(joined.ExecutedTwice)
	sort.Strings(joined.FalseNotRun)
	sort.Strings(joined.AnsweredNotExecuted)
	return joined
}

func (j *JoinResult) countExecutions(logs []*server.ExecutionLog) executionCounts {
	counts := executionCounts{byKey: make(map[string]int), byAttempt: make(map[string]int)}
	for _, log := range logs {
		if log.Truncated {
			j.TruncatedLogs++
		}
		for _, execution := range log.Executions {
			j.Executions++
			counts.byKey[execution.Key]++
			counts.byAttempt[execution.Request]++
		}
	}
	return counts
}

func (j *JoinResult) check(request caller.RequestEntry, counts executionCounts) {
	count := counts.byKey[request.Key]
	if count > 1 {
		j.ExecutedTwice = append(j.ExecutedTwice, request.Key)
	}
	j.FalseNotRun = append(j.FalseNotRun, falseNotRun(request, counts)...)
	last := request.Outcomes[len(request.Outcomes)-1]
	if last == caller.OutcomeAnswered && count == 0 {
		j.AnsweredNotExecuted = append(j.AnsweredNotExecuted, request.Key)
	}
}

// falseNotRun returns the attempts that were executed although a response guaranteed
// that they did not run. A refusal with "not run" covers that attempt and all earlier
// ones, except one sent concurrently; the guarantee for a single attempt covers only
// that one.
func falseNotRun(request caller.RequestEntry, counts executionCounts) []string {
	var attempts []string
	for i, guaranteed := range notRunGuarantees(request) {
		if guaranteed && counts.byAttempt[request.AttemptID(i)] > 0 {
			attempts = append(attempts, request.AttemptID(i))
		}
	}
	return attempts
}

// notRunGuarantees returns, for each attempt, whether a response guaranteed that it
// did not run.
func notRunGuarantees(request caller.RequestEntry) []bool {
	guaranteed := make([]bool, len(request.Outcomes))
	copy(guaranteed, request.AttemptNotRun)
	for i, outcome := range request.Outcomes {
		if outcome != caller.OutcomeNotRun {
			continue
		}
		guaranteed[i] = true
		if request.Duplicated && i < 2 {
			continue
		}
		for earlier := range i {
			guaranteed[earlier] = true
		}
	}
	return guaranteed
}

// readRequests reads a request log.
func readRequests(path string) ([]caller.RequestEntry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "open request log")
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
			return nil, errkind.Wrap(err, errkind.Malformed, "decode request log %s", path)
		}
		entries = append(entries, entry)
	}
}
