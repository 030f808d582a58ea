package experiment

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	figureWidth  = 7 * vg.Inch
	figureHeight = 4 * vg.Inch
	// barWidthPoints is in typographic points.
	barWidthPoints = 18
)

// Labels are the title and the axis labels of a figure.
type Labels struct {
	Title string
	X     string
	Y     string
}

// Bars is one series of a bar chart, with one value for each category.
type Bars struct {
	Name   string
	Values []float64
}

// Line is one curve of a line chart. X and Y have the same length.
type Line struct {
	Name string
	X, Y []float64
}

// WriteBars writes a grouped bar chart to dir/name.svg. Each category has one bar
// of each group. It creates dir if it does not exist. Errors: ErrReport.
func WriteBars(dir, name string, labels Labels, categories []string, groups []Bars) error {
	p := newPlot(labels)
	for i, g := range groups {
		bars, err := plotter.NewBarChart(plotter.Values(g.Values), vg.Points(barWidthPoints))
		if err != nil {
			return ErrReport.Wrap(err, "draw figure %s", name)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidthPoints * (float64(i) - float64(len(groups)-1)/2))
		p.Add(bars)
		p.Legend.Add(g.Name, bars)
	}
	p.NominalX(categories...)
	return save(p, dir, name)
}

// WriteLines writes a line chart to dir/name.svg. It creates dir if it does not
// exist. Errors: ErrReport.
func WriteLines(dir, name string, labels Labels, lines []Line) error {
	p := newPlot(labels)
	for i, l := range lines {
		points := make(plotter.XYs, len(l.X))
		for j := range l.X {
			points[j] = plotter.XY{X: l.X[j], Y: l.Y[j]}
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return ErrReport.Wrap(err, "draw figure %s", name)
		}
		curve.Color = plotutil.Color(i)
		curve.Dashes = plotutil.Dashes(i)
		p.Add(curve)
		p.Legend.Add(l.Name, curve)
	}
	return save(p, dir, name)
}

func newPlot(labels Labels) *plot.Plot {
	p := plot.New()
	p.Title.Text = labels.Title
	p.X.Label.Text = labels.X
	p.Y.Label.Text = labels.Y
	p.Legend.Top = true
	return p
}

func save(p *plot.Plot, dir, name string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return ErrReport.Wrap(err, "create directory %s", dir)
	}
	if err := p.Save(figureWidth, figureHeight, filepath.Join(dir, name+".svg")); err != nil {
		return ErrReport.Wrap(err, "write %s.svg", name)
	}
	return nil
}
