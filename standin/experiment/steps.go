package experiment

import (
	"context"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"bergamotbank/standin/fault"
)

const (
	// callTimeout is the timeout of one HTTP request of a step or for a log.
	callTimeout = 5 * time.Second
	// maxErrorBytes is the maximum number of bytes of a response kept as the error.
	maxErrorBytes = 1000
)

// StepResult is a step with the result of its request.
type StepResult struct {
	Step
	// AtSecond is the time of the request, in seconds since the start of the
	// experiment.
	AtSecond float64 `json:"at_second"`
	Status   int     `json:"status"`
	Error    string  `json:"error,omitempty"`
}

// runSteps sends the requests of the steps at their times until ctx is canceled.
func runSteps(ctx context.Context, steps []Step, start time.Time) []StepResult {
	ordered := append([]Step(nil), steps...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].At < ordered[j].At })
	var results []StepResult
	for _, step := range ordered {
		if !fault.Sleep(ctx, time.Until(start.Add(step.At.Std()))) {
			break
		}
		results = append(results, executeStep(ctx, step, start))
	}
	return results
}

func executeStep(ctx context.Context, step Step, start time.Time) StepResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res := StepResult{Step: step, AtSecond: time.Since(start).Seconds()}
	request, err := http.NewRequestWithContext(ctx, step.Method, step.URL, strings.NewReader(step.Body))
	if err != nil {
		res.Error = err.Error()
		return res
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		res.Error = err.Error()
		return res
	}
	defer func() { _ = response.Body.Close() }()
	res.Status = response.StatusCode
	if res.Status >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		res.Error = strings.TrimSpace(string(text))
	}
	return res
}
