package requestlog

import (
	"cmp"
	"slices"
	"time"
)

// attemptMessage is the message of the lines of attempts without a good answer.
const attemptMessage = "attempt failed"

// Crash is an attempt under which its upstream crashed.
type Crash struct {
	At time.Time
	// Content names what was asked; the same that comes again under another ID has the same.
	Content  string
	ID       string
	Upstream string
}

// Crashed is all that the log has of one content under which upstreams crashed.
type Crashed struct {
	Content string
	// Upstreams that crashed under it, Requests that it came as, and Refused of them by the boxes.
	Upstreams, Requests, Refused int
	First, Last                  time.Time
}

// TallyCrashes adds up the crashes by content, the ones under which most upstreams crashed first. refused counts the
// refusals of a content.
func TallyCrashes(crashes []Crash, refused map[string]int) []Crashed {
	byContent := map[string][]Crash{}
	for _, crash := range crashes {
		byContent[crash.Content] = append(byContent[crash.Content], crash)
	}
	rows := make([]Crashed, 0, len(byContent))
	for content, list := range byContent {
		rows = append(rows, crashed(content, list, refused[content]))
	}
	slices.SortFunc(rows, func(a, b Crashed) int {
		return cmp.Or(cmp.Compare(b.Upstreams, a.Upstreams), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Content, b.Content))
	})
	return rows
}

func crashed(content string, list []Crash, refused int) Crashed {
	row := Crashed{Content: content, Refused: refused, First: list[0].At, Last: list[0].At}
	upstreams, requests := map[string]bool{}, map[string]bool{}
	for _, crash := range list {
		upstreams[crash.Upstream], requests[crash.ID] = true, true
		if crash.At.Before(row.First) {
			row.First = crash.At
		}
		if crash.At.After(row.Last) {
			row.Last = crash.At
		}
	}
	row.Upstreams, row.Requests = len(upstreams), len(requests)
	return row
}
