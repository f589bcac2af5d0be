package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"bergamotbank/errkind"
)

// timeFormat is the format of times in text output and charts, in UTC.
const timeFormat = "2006-01-02T15:04:05.000Z"

// WriteText writes one line for each entry. Errors are of kind Internal.
func WriteText(w io.Writer, entries []Entry) error {
	for _, entry := range entries {
		if _, err := io.WriteString(w, entry.text()+"\n"); err != nil {
			return errkind.Wrap(err, errkind.Internal, "write timeline")
		}
	}
	return nil
}

// text returns the entry as one line; control characters are escaped.
func (e Entry) text() string {
	fields := []string{
		fmt.Sprintf("%s.%05d", e.Stamp.Time().UTC().Format(timeFormat), e.Stamp.Counter()),
		quoteIfNeeded(e.Process),
		quoteIfNeeded(string(e.Event.Kind)),
	}
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, name+"="+quoteIfNeeded(value))
		}
	}
	add("service", e.Event.Service)
	add("server", e.Event.Server)
	add("domain", e.Event.Domain)
	add("peer", e.Event.Peer)
	add("request", e.Event.Request)
	if e.Event.Version != 0 {
		fields = append(fields, fmt.Sprintf("version=%d", e.Event.Version))
	}
	if e.Event.Count != 0 {
		fields = append(fields, fmt.Sprintf("count=%d", e.Event.Count))
	}
	add("detail", e.Event.Detail)
	return strings.Join(fields, " ")
}

// quoteIfNeeded quotes a text that contains spaces, equals signs, or characters that
// need escaping.
func quoteIfNeeded(text string) string {
	quoted := fmt.Sprintf("%q", text)
	if strings.ContainsAny(text, " \t=") || quoted != `"`+text+`"` {
		return quoted
	}
	return text
}

// jsonEntry is the JSON representation of an entry.
type jsonEntry struct {
	Time     time.Time `json:"time"`
	Stamp    uint64    `json:"stamp"`
	Process  string    `json:"process"`
	Position uint64    `json:"position"`
	Kind     string    `json:"kind"`
	Service  string    `json:"service,omitempty"`
	Server   string    `json:"server,omitempty"`
	Domain   string    `json:"domain,omitempty"`
	Peer     string    `json:"peer,omitempty"`
	Request  string    `json:"request,omitempty"`
	Version  uint64    `json:"version,omitempty"`
	Count    uint64    `json:"count,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

// WriteJSON writes one JSON object per line for each entry. Errors are of kind
// Internal.
func WriteJSON(w io.Writer, entries []Entry) error {
	encoder := json.NewEncoder(w)
	for _, e := range entries {
		line := jsonEntry{
			Time:     e.Stamp.Time().UTC(),
			Stamp:    uint64(e.Stamp),
			Process:  e.Process,
			Position: e.Position,
			Kind:     string(e.Event.Kind),
			Service:  e.Event.Service,
			Server:   e.Event.Server,
			Domain:   e.Event.Domain,
			Peer:     e.Event.Peer,
			Request:  e.Event.Request,
			Version:  e.Event.Version,
			Count:    e.Event.Count,
			Detail:   e.Event.Detail,
		}
		if err := encoder.Encode(line); err != nil {
			return errkind.Wrap(err, errkind.Internal, "write timeline")
		}
	}
	return nil
}
