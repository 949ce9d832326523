package reporter

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// chartWidth and chartHeight are the size of a chart.
	chartWidth  = 20 * vg.Centimeter
	chartHeight = 12 * vg.Centimeter
)

// Chart is a line chart.
type Chart struct {
	Title string
	// X and Y are the labels of the axes, with units.
	X     string
	Y     string
	Lines []Line
}

// Line is one line of a chart.
type Line struct {
	Name   string
	Points []Point
}

// Point is one point of a line.
type Point struct {
	X float64
	Y float64
}

// WriteSVG writes a chart as SVG.
func (c Chart) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.X
	p.Y.Label.Text = c.Y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	for i, l := range c.Lines {
		points := make(plotter.XYs, len(l.Points))
		for j, point := range l.Points {
			points[j] = plotter.XY{X: point.X, Y: point.Y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}
	writer, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return err
	}
	_, err = writer.WriteTo(w)
	return err
}
