// Package explain traces a request or flow through the log lines of many processes.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"bergamotbank/errkind"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// contextWindow is the time before the first and after the last line of a flow from
// which other lines of its processes, such as state changes, are included.
const contextWindow = 3 * time.Second

// Line is one log line.
type Line struct {
	Time    time.Time
	Process string
	Message string
	// Fields holds all fields of the line.
	Fields map[string]any
}

// field returns a field as text, or "" if it is missing.
func (l *Line) field(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// revision describes the revision in two fields. Earlier builds log no era.
func (l *Line) revision(era, index string) string {
	if l.field(era) == "" {
		return l.field(index)
	}
	return l.field(index) + " of era " + l.field(era)
}

// flow returns the flow that the line is about, or "" if there is none.
func (l *Line) flow() string {
	if l.field("caller") == "" {
		return ""
	}
	return l.field("caller") + " " + l.field("service_address")
}

// Log holds the log lines of many processes.
type Log struct {
	lines []Line
	// Skipped is the number of lines that could not be parsed.
	Skipped int
}

// Read adds the lines of one file. Text before the JSON object of a line is ignored.
func (g *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		line, ok := parseLine("{" + text)
		if !found || !ok {
			g.Skipped++
			continue
		}
		g.lines = append(g.lines, line)
	}
	return errkind.Wrap(scanner.Err(), errkind.Malformed, "read log lines")
}

func parseLine(text string) (Line, bool) {
	line := Line{Fields: map[string]any{}}
	if err := json.Unmarshal([]byte(text), &line.Fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.field("time"))
	line.Time, line.Process, line.Message = at, line.field("process"), line.field("msg")
	return line, err == nil && line.Process != "" && line.Message != ""
}

// Trace is the result of following a request or flow through the logs.
type Trace struct {
	// Flows lists the flows of the request, each as caller and service address.
	Flows []string
	// Lines are the lines about the flows, and other lines of the same processes
	// around that time.
	Lines []Line
	// Findings describe the outcomes that the lines show.
	Findings []string
}

// Explain returns the trace of a request, given by its identifier, or of a flow, given
// by its caller's address. Errors: NotFound.
func (g *Log) Explain(subject string) (Trace, error) {
	var trace Trace
	for i := range g.lines {
		line := &g.lines[i]
		if line.field("request") != subject && line.field("caller") != subject {
			continue
		}
		if flow := line.flow(); flow != "" && !slices.Contains(trace.Flows, flow) {
			trace.Flows = append(trace.Flows, flow)
		}
	}
	if len(trace.Flows) == 0 {
		return Trace{}, errkind.New(errkind.NotFound,
			"no line contains %q: no agent handled it, or its lines were dropped by the rate limit; try the caller's address and port", subject)
	}
	trace.Lines = g.relatedLines(trace.Flows)
	trace.Findings = findings(subject, trace.Lines)
	return trace, nil
}

// relatedLines returns the lines about the flows, and those lines of the same processes
// within contextWindow that are about no flow, in order.
func (g *Log) relatedLines(flows []string) []Line {
	var first, last time.Time
	involved := map[string]bool{}
	for i := range g.lines {
		line := &g.lines[i]
		if !slices.Contains(flows, line.flow()) {
			continue
		}
		involved[line.Process] = true
		if first.IsZero() || line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	byProcess := map[string][]Line{}
	for _, line := range g.lines {
		inWindow := line.Time.After(first.Add(-contextWindow)) && line.Time.Before(last.Add(contextWindow))
		stateChange := line.flow() == "" && involved[line.Process] && inWindow && line.Message != "member reachable"
		if stateChange || slices.Contains(flows, line.flow()) {
			byProcess[line.Process] = append(byProcess[line.Process], line)
		}
	}
	return merge(byProcess)
}

// merge merges the lines of all processes by time. Lines of one process keep their
// order, even if its clock was set back.
func merge(byProcess map[string][]Line) []Line {
	names := slices.Sorted(maps.Keys(byProcess))
	var merged []Line
	for {
		next := ""
		for _, name := range names {
			lines := byProcess[name]
			if len(lines) > 0 && (next == "" || lines[0].Time.Before(byProcess[next][0].Time)) {
				next = name
			}
		}
		if next == "" {
			return merged
		}
		merged = append(merged, byProcess[next][0])
		byProcess[next] = byProcess[next][1:]
	}
}

// findings describes the outcomes that the lines about a subject show.
func findings(subject string, lines []Line) []string {
	var found []string
	for i := range lines {
		line := &lines[i]
		aboutSubject := line.field("request") == "" || line.field("request") == subject || line.field("caller") == subject
		if text := finding(line); text != "" && aboutSubject {
			found = append(found, text)
		}
	}
	if len(found) == 0 {
		return []string{"no process logged an outcome: packets were lost, or lines were dropped by the rate limit"}
	}
	return found
}

// finding describes the outcome that a line shows, or returns "" if it shows none.
func finding(line *Line) string {
	switch line.Message {
	case "request answered":
		return fmt.Sprintf("%s: the server started its response after %s ms", line.Process, line.milliseconds("wait"))
	case "request unanswered":
		return fmt.Sprintf("%s: the flow ended %s ms after the request reached the server, without a response (server %s)",
			line.Process, line.milliseconds("wait"), line.field("server_state"))
	case "flow refused":
		return fmt.Sprintf("%s: refused the flow (%s), forwarded to %s; versions of agent and balancer %s and %s, server %s",
			line.Process, line.field("kind"), line.field("passed_to"), line.revision("era", "revision"), line.revision("balancer_era", "balancer_revision"), line.field("server_state"))
	case "admission queue":
		return fmt.Sprintf("%s: %s after %s ms in the admission queue, expected %s ms with %s ahead at priority %s; %s pending",
			line.Process, line.field("outcome"), line.milliseconds("waited"), line.milliseconds("expected_wait"), line.field("ahead"),
			line.field("priority"), line.field("pending"))
	case "flow reset":
		return fmt.Sprintf("%s: reset the flow (%s) at version %s", line.Process, line.field("kind"), line.revision("era", "revision"))
	case "flow searched":
		return fmt.Sprintf("%s: no agent had registered the flow; queried %s agents", line.Process, line.field("asked"))
	}
	return ""
}

// milliseconds returns a field in seconds as milliseconds.
func (l *Line) milliseconds(name string) string {
	seconds, ok := l.Fields[name].(float64)
	if !ok {
		return "?"
	}
	return fmt.Sprintf("%.1f", seconds*1000)
}

// headerFields are the fields that Write prints at the start of a line, or omits.
var headerFields = []string{"level", "time", "msg", "process"}

// Write prints a trace.
func Write(w io.Writer, trace Trace) error {
	var b strings.Builder
	for _, flow := range trace.Flows {
		fmt.Fprintf(&b, "flow %s\n", flow)
	}
	for i := range trace.Lines {
		line := &trace.Lines[i]
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			if !slices.Contains(headerFields, name) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		fmt.Fprintf(&b, "%s %-24s %-22s", line.Time.Format("15:04:05.000"), line.Process, line.Message)
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%s", name, line.field(name))
		}
		b.WriteByte('\n')
	}
	for _, text := range trace.Findings {
		fmt.Fprintf(&b, "finding: %s\n", text)
	}
	_, err := io.WriteString(w, b.String())
	return errkind.Wrap(err, errkind.Internal, "write trace")
}
