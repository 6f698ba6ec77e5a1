package requestlog

import (
	"cmp"
	"slices"
	"time"
)

// attemptMessage is the message of log lines for attempts without a good answer.
const attemptMessage = "attempt failed"

// Crash is an attempt under which its upstream crashed.
type Crash struct {
	At time.Time
	// Content identifies what was asked. It is the same for every request with the same content, whatever its ID.
	Content  string
	ID       string
	Upstream string
}

// CrashSummary sums up the log lines of one content under which upstreams crashed.
type CrashSummary struct {
	Content string
	// Upstreams is the number of upstreams that crashed under it. Requests is the number of request IDs among
	// these crashes. Refused is the number of requests with it that boxes refused.
	Upstreams, Requests, Refused int
	First, Last                  time.Time
}

// TallyCrashes groups the crashes by content, those under which most upstreams crashed first. refused counts the
// refusals by content.
func TallyCrashes(crashes []Crash, refused map[string]int) []CrashSummary {
	byContent := map[string][]Crash{}
	for _, crash := range crashes {
		byContent[crash.Content] = append(byContent[crash.Content], crash)
	}
	rows := make([]CrashSummary, 0, len(byContent))
	for content, list := range byContent {
		rows = append(rows, summarize(content, list, refused[content]))
	}
	slices.SortFunc(rows, func(a, b CrashSummary) int {
		return cmp.Or(cmp.Compare(b.Upstreams, a.Upstreams), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Content, b.Content))
	})
	return rows
}

func summarize(content string, list []Crash, refused int) CrashSummary {
	row := CrashSummary{Content: content, Refused: refused, First: list[0].At, Last: list[0].At}
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
