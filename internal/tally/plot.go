package tally

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a picture.
const (
	pictureWidth  = 24 * vg.Centimeter
	pictureHeight = 12 * vg.Centimeter
)

// series are the lines of a picture: what became of the requests of each row.
var series = []struct {
	name  string
	color color.RGBA
	of    func(Row) int
}{
	{"answered", color.RGBA{0x2c, 0x7f, 0xb8, 0xff}, func(r Row) int { return r.Answered }},
	{"denied", color.RGBA{0xd9, 0x5f, 0x0e, 0xff}, func(r Row) int { return r.Denied }},
	{"failed or cut", color.RGBA{0xb2, 0x18, 0x2b, 0xff}, func(r Row) int { return r.Failed + r.Cut }},
	{"caller gone", color.RGBA{0x77, 0x77, 0x77, 0xff}, func(r Row) int { return r.CallerGone }},
}

// Picture writes the rows of a table by time to a file, whose ending names the format (png, svg or
// pdf).
func Picture(file string, rows []Row) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "row of the table", "requests"
	p.Legend.Top = true
	for _, s := range series {
		points := make(plotter.XYs, len(rows))
		for i, r := range rows {
			points[i] = plotter.XY{X: float64(i), Y: float64(s.of(r))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot of %s: %w", s.name, err)
		}
		line.Color, line.Width = s.color, vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	if len(rows) > 0 {
		p.Title.Text = "from " + rows[0].Key + " to " + rows[len(rows)-1].Key
	}
	return p.Save(pictureWidth, pictureHeight, file)
}
