package caller

import (
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"bergamotbank/errkind"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 18 * vg.Centimeter
	// headroom is the ratio of the plot height to its largest value. It leaves space
	// for the legend.
	headroom = 1.25
)

// curve is one line of a plot.
type curve struct {
	name  string
	color color.Color
	value func(Second) float64
}

var (
	green = color.RGBA{G: 0x99, A: 0xff}
	blue  = color.RGBA{B: 0xcc, A: 0xff}
	amber = color.RGBA{R: 0xdd, G: 0x99, A: 0xff}
	red   = color.RGBA{R: 0xcc, A: 0xff}
)

// countCurves shows the outcomes per second.
var countCurves = []curve{
	{"answered", green, func(s Second) float64 { return float64(s.Answered) }},
	{"not run", blue, func(s Second) float64 { return float64(s.NotRun) }},
	{"unknown", amber, func(s Second) float64 { return float64(s.Unknown) }},
	{"failed", red, func(s Second) float64 { return float64(s.Failed) }},
}

// latencyCurves shows the latencies of complete responses.
var latencyCurves = []curve{
	{"p50", green, func(s Second) float64 { return s.P50 }},
	{"p99", red, func(s Second) float64 { return s.P99 }},
}

// Mark is a point in time that a plot shows as a labeled vertical line.
type Mark struct {
	// Second is the time since the start of the run, in seconds.
	Second float64
	Label  string
}

// WritePlot plots the outcomes and latencies per second of a run into a .svg or
// .png file.
func WritePlot(path, title string, seconds []Second, marks []Mark) error {
	counts, err := newPlot(title, "per second", countCurves, seconds)
	if err != nil {
		return err
	}
	latencies, err := newPlot("", "milliseconds", latencyCurves, seconds)
	if err != nil {
		return err
	}
	for _, p := range []*plot.Plot{counts, latencies} {
		if err := addMarks(p, marks); err != nil {
			return err
		}
	}
	latencies.X.Label.Text = "second of the run"
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	canvas, err := draw.NewFormattedCanvas(plotWidth, plotHeight, format)
	if err != nil {
		return errkind.Wrap(err, errkind.Usage, "create plot %s", path)
	}
	grid := [][]*plot.Plot{{counts}, {latencies}}
	tiles := draw.Tiles{Rows: len(grid), Cols: 1, PadY: vg.Centimeter}
	canvases := plot.Align(grid, tiles, draw.New(canvas))
	counts.Draw(canvases[0][0])
	latencies.Draw(canvases[1][0])
	return writeCanvas(path, canvas)
}

func newPlot(title, label string, curves []curve, seconds []Second) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = label
	p.X.Min, p.X.Max = 0, 1
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for _, c := range curves {
		points := make(plotter.XYs, 0, len(seconds))
		for _, s := range seconds {
			points = append(points, plotter.XY{X: float64(s.Second), Y: c.value(s)})
		}
		if err := addLine(p, c.name, c.color, points); err != nil {
			return nil, err
		}
	}
	p.Y.Max *= headroom
	return p, nil
}

// addLine adds a line with a legend entry, unless it has no points.
func addLine(p *plot.Plot, name string, c color.Color, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "plot series %s", name)
	}
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func writeCanvas(path string, canvas vg.CanvasWriterTo) error {
	file, err := os.Create(path)
	if err != nil {
		return errkind.Wrap(err, errkind.Usage, "create plot")
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return errkind.Wrap(err, errkind.Internal, "write plot %s", path)
	}
	return errkind.Wrap(file.Close(), errkind.Internal, "write plot %s", path)
}

// Point is a value at a point in time of a run.
type Point struct {
	// Second is the time since the start of the run, in seconds.
	Second float64
	Value  float64
}

// Series is a named time series.
type Series struct {
	Name   string
	Points []Point
}

// WriteSeries plots time series into a .svg or .png file.
func WriteSeries(path, title, label string, series []Series, marks []Mark) error {
	p, err := newPlot(title, label, nil, nil)
	if err != nil {
		return err
	}
	p.X.Label.Text = "second of the run"
	for i, s := range series {
		points := make(plotter.XYs, 0, len(s.Points))
		for _, point := range s.Points {
			points = append(points, plotter.XY{X: point.Second, Y: point.Value})
		}
		if err := addLine(p, s.Name, plotutil.Color(i), points); err != nil {
			return err
		}
	}
	if err := addMarks(p, marks); err != nil {
		return err
	}
	return errkind.Wrap(p.Save(plotWidth, plotHeight, path), errkind.Usage, "write plot %s", path)
}

// addMarks adds the marks to a plot, over its full height.
func addMarks(p *plot.Plot, marks []Mark) error {
	top := p.Y.Max
	for _, mark := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: mark.Second, Y: 0}, {X: mark.Second, Y: top}})
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "plot mark %s", mark.Label)
		}
		line.Dashes = []vg.Length{vg.Millimeter, vg.Millimeter}
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: mark.Second, Y: top}},
			Labels: []string{mark.Label},
		})
		if err != nil {
			return errkind.Wrap(err, errkind.Internal, "plot mark %s", mark.Label)
		}
		p.Add(line, label)
	}
	return nil
}

// SumSeconds returns the per-second sums over all classes of the reports. The
// latencies are the maxima over the classes.
func SumSeconds(reports ...*Report) []Second {
	var sums []Second
	for _, report := range reports {
		for _, class := range report.classes() {
			sums = addSeconds(sums, class.Series)
		}
	}
	return sums
}

func addSeconds(sums, series []Second) []Second {
	for i, s := range series {
		if i == len(sums) {
			sums = append(sums, Second{Second: i})
		}
		sum := &sums[i]
		sum.Answered += s.Answered
		sum.NotRun += s.NotRun
		sum.Unknown += s.Unknown
		sum.Failed += s.Failed
		sum.Lines += s.Lines
		sum.P50 = max(sum.P50, s.P50)
		sum.P99 = max(sum.P99, s.P99)
	}
	return sums
}
