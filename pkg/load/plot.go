package load

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot draws the slowdown over the share of jobs, measured and ideal, as a
// PNG or SVG by the file's ending.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Scenario + ", " + r.Policy
	p.X.Label.Text = "share of jobs"
	p.Y.Label.Text = "slowdown"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	if err := plotutil.AddLines(p, "measured", curve(r.slowdowns), "one clairvoyant queue", curve(r.ideals)); err != nil {
		return errors.Wrap(err, "draw the curves")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write the plot")
}

func curve(sorted []float64) plotter.XYs {
	points := make(plotter.XYs, len(sorted))
	for i, value := range sorted {
		points[i].X = float64(i+1) / float64(len(sorted))
		points[i].Y = max(value, 1)
	}
	return points
}
