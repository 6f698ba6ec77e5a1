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
	Content string
	// Parts are the shared parts of the prompt.
	Parts    []string
	ID       string
	Upstream string
}

// CrashSummary sums up the log lines of one content under which upstreams crashed.
type CrashSummary struct {
	Content string
	CrashCounts
	// Refused is the number of requests with the content that boxes refused.
	Refused int
}

// PartSummary sums up the log lines of one part of prompts under which upstreams crashed.
type PartSummary struct {
	Part string
	CrashCounts
	// Answered is the number of requests with the part that were answered with status 200.
	Answered int
}

// CrashCounts is the number of upstreams that crashed, the number of request IDs among these crashes, and when the
// first and the last of them were.
type CrashCounts struct {
	Upstreams, Requests int
	First, Last         time.Time
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
		rows = append(rows, CrashSummary{Content: content, CrashCounts: countCrashes(list), Refused: refused[content]})
	}
	slices.SortFunc(rows, func(a, b CrashSummary) int {
		return cmp.Or(a.compare(b.CrashCounts), cmp.Compare(a.Content, b.Content))
	})
	return rows
}

// TallyParts groups the crashes by part of the prompt, those under which most upstreams crashed first; of several such
// parts, the one with the fewest answers. answered counts the answered requests by part.
func TallyParts(crashes []Crash, answered map[string]int) []PartSummary {
	byPart := map[string][]Crash{}
	for _, crash := range crashes {
		for _, part := range crash.Parts {
			byPart[part] = append(byPart[part], crash)
		}
	}
	rows := make([]PartSummary, 0, len(byPart))
	for part, list := range byPart {
		rows = append(rows, PartSummary{Part: part, CrashCounts: countCrashes(list), Answered: answered[part]})
	}
	slices.SortFunc(rows, func(a, b PartSummary) int {
		return cmp.Or(cmp.Compare(b.Upstreams, a.Upstreams), cmp.Compare(a.Answered, b.Answered), cmp.Compare(a.Part, b.Part))
	})
	return rows
}

// compare orders the counts with more upstreams first, then those with more requests.
func (c CrashCounts) compare(other CrashCounts) int {
	return cmp.Or(cmp.Compare(other.Upstreams, c.Upstreams), cmp.Compare(other.Requests, c.Requests))
}

func countCrashes(list []Crash) CrashCounts {
	counts := CrashCounts{First: list[0].At, Last: list[0].At}
	upstreams, requests := map[string]bool{}, map[string]bool{}
	for _, crash := range list {
		upstreams[crash.Upstream], requests[crash.ID] = true, true
		if crash.At.Before(counts.First) {
			counts.First = crash.At
		}
		if crash.At.After(counts.Last) {
			counts.Last = crash.At
		}
	}
	counts.Upstreams, counts.Requests = len(upstreams), len(requests)
	return counts
}
