package timeline

import (
	"encoding/xml"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/event"
)

// Dimensions of the chart in pixels.
const (
	svgWidth      = 1200
	svgLaneHeight = 28
	svgLabelWidth = 200
	svgMargin     = 20
	svgRadius     = 4
	svgTicks      = 5
	svgTextSize   = 12
)

// svgDocument is the root element of the chart.
type svgDocument struct {
	XMLName xml.Name    `xml:"svg"`
	NS      string      `xml:"xmlns,attr"`
	Width   int         `xml:"width,attr"`
	Height  int         `xml:"height,attr"`
	Lines   []svgLine   `xml:"line"`
	Texts   []svgText   `xml:"text"`
	Circles []svgCircle `xml:"circle"`
}

type svgLine struct {
	X1     int    `xml:"x1,attr"`
	Y1     int    `xml:"y1,attr"`
	X2     int    `xml:"x2,attr"`
	Y2     int    `xml:"y2,attr"`
	Stroke string `xml:"stroke,attr"`
}

type svgText struct {
	X    int    `xml:"x,attr"`
	Y    int    `xml:"y,attr"`
	Size int    `xml:"font-size,attr"`
	Font string `xml:"font-family,attr"`
	Text string `xml:",chardata"`
}

type svgCircle struct {
	X     float64 `xml:"cx,attr"`
	Y     int     `xml:"cy,attr"`
	R     int     `xml:"r,attr"`
	Fill  string  `xml:"fill,attr"`
	Title string  `xml:"title"`
}

// svgScale maps entries to coordinates in the chart.
type svgScale struct {
	first, last int64 // Unix milliseconds
	lanes       map[string]int
}

// WriteSVG writes an SVG chart with one lane for each process and one point for each
// entry, titled with the entry's text. Errors are of kind Internal.
func WriteSVG(w io.Writer, entries []Entry) error {
	scale, names := newScale(entries)
	document := svgDocument{
		NS:     "http://www.w3.org/2000/svg",
		Width:  svgWidth,
		Height: (len(names)+1)*svgLaneHeight + 2*svgMargin,
	}
	for _, name := range names {
		document.addLane(scale, name)
	}
	if len(entries) > 0 {
		document.addTicks(scale, len(names))
	}
	for _, entry := range entries {
		document.Circles = append(document.Circles, svgCircle{
			X:     scale.x(entry),
			Y:     scale.y(entry.Process),
			R:     svgRadius,
			Fill:  kindColor(entry.Event.Kind),
			Title: printable(entry.text()),
		})
	}
	encoder := xml.NewEncoder(w)
	encoder.Indent("", " ")
	return errkind.Wrap(encoder.Encode(document), errkind.Internal, "write chart")
}

func newScale(entries []Entry) (svgScale, []string) {
	scale := svgScale{lanes: make(map[string]int)}
	var names []string
	for i, entry := range entries {
		at := entry.Stamp.Time().UnixMilli()
		if i == 0 {
			scale.first, scale.last = at, at
		}
		scale.first = min(scale.first, at)
		scale.last = max(scale.last, at)
		if !slices.Contains(names, entry.Process) {
			names = append(names, entry.Process)
		}
	}
	slices.Sort(names)
	for i, name := range names {
		scale.lanes[name] = i
	}
	return scale, names
}

func (s svgScale) x(entry Entry) float64 {
	return s.position(entry.Stamp.Time().UnixMilli())
}

func (s svgScale) position(at int64) float64 {
	span := max(s.last-s.first, 1)
	width := float64(svgWidth - svgLabelWidth - 2*svgMargin)
	return svgLabelWidth + svgMargin + width*float64(at-s.first)/float64(span)
}

func (s svgScale) y(process string) int {
	return svgMargin + svgLaneHeight/2 + s.lanes[process]*svgLaneHeight
}

func (d *svgDocument) addLane(scale svgScale, name string) {
	y := scale.y(name)
	d.addText(svgMargin, y+svgTextSize/3, name)
	d.Lines = append(d.Lines, svgLine{X1: svgLabelWidth, Y1: y, X2: svgWidth - svgMargin, Y2: y, Stroke: "#cccccc"})
}

func (d *svgDocument) addTicks(scale svgScale, lanes int) {
	y := svgMargin + lanes*svgLaneHeight + svgLaneHeight/2
	for i := range svgTicks {
		at := scale.first + (scale.last-scale.first)*int64(i)/svgTicks
		d.addText(int(scale.position(at)), y, fmt.Sprintf("+%d ms", at-scale.first))
	}
	d.addText(svgMargin, y, time.UnixMilli(scale.first).UTC().Format(timeFormat))
}

func (d *svgDocument) addText(x, y int, text string) {
	d.Texts = append(d.Texts, svgText{X: x, Y: y, Size: svgTextSize, Font: "monospace", Text: printable(text)})
}

// printable replaces characters that are not valid in XML.
func printable(text string) string {
	return strings.ToValidUTF8(strings.Map(func(r rune) rune {
		if r < ' ' || r == 0xfffe || r == 0xffff {
			return ' '
		}
		return r
	}, text), "?")
}

// kindColor returns the color of an event kind: red for failures, orange for refusals
// and planned removals, green for additions and recoveries, blue for the rest.
func kindColor(kind event.Kind) string {
	switch kind {
	case event.ServerSilent, event.PeerSilent, event.MassSilence, event.StoreUnreachable, event.FlowsGivenUp,
		event.RequestUnknown, event.BackendCold, event.PacketsDropped, event.ConnectionSilent, event.VersionRejected:
		return "#cc2222"
	case event.ServerGone, event.DomainOut, event.DrainStarted, event.DrainFinished, event.RequestRefused,
		event.ProcessStopping, event.RequestRepeated:
		return "#dd8800"
	case event.ProcessStarted, event.ProcessReady, event.ServerAnnounced, event.PeerBack, event.DomainIn,
		event.StoreReachable, event.VersionInForce:
		return "#228822"
	default:
		return "#2255cc"
	}
}
