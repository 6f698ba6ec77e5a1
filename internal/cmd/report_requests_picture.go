package cmd

import (
	"os"

	"github.com/juju/errors"
	"github.com/wcharczuk/go-chart/v2"

	"ospreymoor.example/ospreymoor/internal/requestlog"
)

// pictureWidth is the width of the chart of requests over time, in pixels.
const pictureWidth = 1000

// draw writes a chart of the number of requests that ended with each outcome, by second, as SVG.
func (c *reportRequestsCommand) draw(requests []requestlog.Request) error {
	picture := chart.Chart{
		Title: "Requests a second by how they ended", Width: pictureWidth, Height: pictureHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 160}},
		XAxis:      chart.XAxis{Name: "seconds"},
	}
	for _, outcome := range requestlog.Outcomes {
		picture.Series = append(picture.Series, outcomeSeries(requests, outcome))
	}
	picture.Elements = []chart.Renderable{chart.LegendLeft(&picture)}
	file, err := os.Create(c.Picture)
	if err != nil {
		return settingsError("--picture: %v", err)
	}
	if err := picture.Render(chart.SVG, file); err != nil {
		_ = file.Close() // The rendering error is returned instead.
		return errors.Annotate(err, "drawing the picture")
	}
	return errors.Annotate(file.Close(), c.Picture)
}

// outcomeSeries returns the number of requests that ended with an outcome, by second. It has at least two
// points, since the chart needs them.
func outcomeSeries(requests []requestlog.Request, outcome requestlog.Outcome) chart.ContinuousSeries {
	first := requestlog.First(requests)
	counts := make([]float64, 2)
	for _, request := range requests {
		second := int(request.Ended.Sub(first).Seconds())
		for len(counts) <= second {
			counts = append(counts, 0)
		}
		if request.Outcome == outcome {
			counts[second]++
		}
	}
	return chart.ContinuousSeries{Name: string(outcome), XValues: chart.LinearRange(0, float64(len(counts)-1)), YValues: counts}
}
