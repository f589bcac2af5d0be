// Package explain finds the way of one request or flow through the log lines of
// many processes.
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

// maxLine is the longest log line that is read, in bytes.
const maxLine = 1 << 20

// context is how long before the first and after the last line of a flow changes
// of what its processes believed are shown.
const context = 3 * time.Second

// Line is one log line.
type Line struct {
	Time    time.Time
	Process string
	Message string
	// Fields are all fields of the line.
	Fields map[string]any
}

// text returns a field as text, "" when it is missing.
func (l *Line) text(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// flow returns the flow that the line is about, "" for none.
func (l *Line) flow() string {
	if l.text("caller") == "" {
		return ""
	}
	return l.text("caller") + " " + l.text("service_address")
}

// Log holds the lines of many processes.
type Log struct {
	lines []Line
	// Skipped is the number of lines that are not log lines.
	Skipped int
}

// Read adds the lines of one file. Text in front of a line's JSON is passed over.
func (g *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
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
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	line.Time, line.Process, line.Message = at, line.text("process"), line.text("msg")
	return line, err == nil && line.Process != "" && line.Message != ""
}

// Story is the way of a request or flow.
type Story struct {
	// Flows are the flows that it was on, as caller and address.
	Flows []string
	// Lines are about the flows, or tell what their processes believed meanwhile.
	Lines []Line
	// Findings say in words what the lines show.
	Findings []string
}

// Explain returns the way of a request, by its identifier, or of a flow, by its
// caller's address. The error has kind NotFound.
func (g *Log) Explain(subject string) (Story, error) {
	var story Story
	for i := range g.lines {
		line := &g.lines[i]
		if line.text("request") != subject && line.text("caller") != subject {
			continue
		}
		if flow := line.flow(); flow != "" && !slices.Contains(story.Flows, flow) {
			story.Flows = append(story.Flows, flow)
		}
	}
	if len(story.Flows) == 0 {
		return Story{}, errkind.New(errkind.NotFound,
			"no line names %q: no agent saw it, or its line was over the budget; try the caller's address and port", subject)
	}
	story.Lines = g.related(story.Flows)
	story.Findings = findings(subject, story.Lines)
	return story, nil
}

// related returns the lines about the flows and the changes of belief around them
// in the processes concerned, in order.
func (g *Log) related(flows []string) []Line {
	var first, last time.Time
	concerned := map[string]bool{}
	for i := range g.lines {
		line := &g.lines[i]
		if !slices.Contains(flows, line.flow()) {
			continue
		}
		concerned[line.Process] = true
		if first.IsZero() || line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	byProcess := map[string][]Line{}
	for _, line := range g.lines {
		near := line.Time.After(first.Add(-context)) && line.Time.Before(last.Add(context))
		belief := line.flow() == "" && concerned[line.Process] && near && line.Message != "member reachable"
		if belief || slices.Contains(flows, line.flow()) {
			byProcess[line.Process] = append(byProcess[line.Process], line)
		}
	}
	return merge(byProcess)
}

// merge joins the lines of processes by time; those of one process keep their order,
// also when its clock was set.
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

// findings says in words what the lines about a subject show.
func findings(subject string, lines []Line) []string {
	var found []string
	for i := range lines {
		line := &lines[i]
		own := line.text("request") == "" || line.text("request") == subject || line.text("caller") == subject
		if text := finding(line); text != "" && own {
			found = append(found, text)
		}
	}
	if len(found) == 0 {
		return []string{"no process logged an outcome: packets were lost on the way, or lines were over the budget"}
	}
	return found
}

// finding says in words what one line shows, "" for lines without an outcome.
func finding(line *Line) string {
	switch line.Message {
	case "request answered":
		return fmt.Sprintf("%s: the server began its answer after %s ms", line.Process, line.milliseconds("wait"))
	case "request unanswered":
		return fmt.Sprintf("%s: the flow ended %s ms after the request reached the server, without an answer (server %s)",
			line.Process, line.milliseconds("wait"), line.text("server_state"))
	case "flow refused":
		return fmt.Sprintf("%s: refused the flow (%s), passed to %s; versions of agent and balancer %s and %s, server %s",
			line.Process, line.text("kind"), line.text("passed_to"), line.text("revision"), line.text("balancer_revision"), line.text("server_state"))
	case "flow reset":
		return fmt.Sprintf("%s: reset the flow (%s) by version %s", line.Process, line.text("kind"), line.text("revision"))
	case "flow searched":
		return fmt.Sprintf("%s: nobody had registered the flow; asked %s agents", line.Process, line.text("asked"))
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

// shownElsewhere are the fields that a printed line has in front.
var shownElsewhere = []string{"level", "time", "msg", "process"}

// Write prints a story.
func Write(w io.Writer, story Story) error {
	var b strings.Builder
	for _, flow := range story.Flows {
		fmt.Fprintf(&b, "flow %s\n", flow)
	}
	for i := range story.Lines {
		line := &story.Lines[i]
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			if !slices.Contains(shownElsewhere, name) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		fmt.Fprintf(&b, "%s %-24s %-22s", line.Time.Format("15:04:05.000"), line.Process, line.Message)
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%s", name, line.text(name))
		}
		b.WriteByte('\n')
	}
	for _, text := range story.Findings {
		fmt.Fprintf(&b, "finding: %s\n", text)
	}
	_, err := io.WriteString(w, b.String())
	return errkind.Wrap(err, errkind.Internal, "write the way of a request")
}
