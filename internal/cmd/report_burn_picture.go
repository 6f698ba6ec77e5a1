package cmd

import (
	"io"

	"github.com/wcharczuk/go-chart/v2"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
)

// Sizes of the charts in pixels.
const (
	pictureHeight   = 420
	pictureBarWidth = 36
	pictureSpacing  = 34
	pictureMargin   = 120
)

// drawBurn writes a bar chart of each model's share of requests served within target, as SVG: green if
// the objective is met, red if it is not.
func drawBurn(out io.Writer, report *ospreymoorv1.GetBurnResponse) error {
	lines := report.GetLines()
	if len(lines) == 0 {
		return settingsError("nothing was served or refused yet: ask again later, or use --format table")
	}
	picture := chart.BarChart{
		Title:      "Served within target",
		Width:      pictureMargin + len(lines)*(pictureBarWidth+pictureSpacing),
		Height:     pictureHeight,
		BarWidth:   pictureBarWidth,
		BarSpacing: pictureSpacing,
		Background: chart.Style{Padding: chart.Box{Top: 40, Bottom: 60}},
		YAxis: chart.YAxis{
			Range:          &chart.ContinuousRange{Min: 0, Max: 1},
			ValueFormatter: chart.PercentValueFormatter,
		},
		XAxis: chart.Style{TextRotationDegrees: 30},
	}
	for _, line := range lines {
		picture.Bars = append(picture.Bars, burnBar(line))
	}
	return picture.Render(chart.SVG, out)
}

// burnBar returns the bar of one model or service.
func burnBar(line *ospreymoorv1.BurnLine) chart.Value {
	share := 0.0
	if line.GetRequests() > 0 {
		share = float64(line.GetWithinTarget()) / float64(line.GetRequests())
	}
	color := chart.ColorGreen
	if share < line.GetObjective() {
		color = chart.ColorRed
	}
	return chart.Value{
		Label: line.GetModel() + " " + percent(share),
		Value: share,
		Style: chart.Style{FillColor: color, StrokeColor: color},
	}
}
