package requestlog

import (
	"cmp"
	"slices"
	"time"
)

// Span returns the requests that ended in a time span, in the order of their ends. from and to are measured from
// the end of the first request; a to of 0 sets no end.
func Span(requests []Request, from, to time.Duration) []Request {
	if len(requests) == 0 {
		return nil
	}
	begin := First(requests)
	var within []Request
	for _, request := range requests {
		at := request.Ended.Sub(begin)
		if at >= from && (to == 0 || at < to) {
			within = append(within, request)
		}
	}
	slices.SortStableFunc(within, func(a, b Request) int { return a.Ended.Compare(b.Ended) })
	return within
}

// First returns when the first of the requests ended. There must be at least one.
func First(requests []Request) time.Time {
	first := slices.MinFunc(requests, func(a, b Request) int { return a.Ended.Compare(b.Ended) })
	return first.Ended
}

// Row counts the requests of one group by outcome.
type Row struct {
	Name   string
	Counts map[Outcome]int
}

// Total returns the number of the row's requests.
func (r *Row) Total() int {
	total := 0
	for _, count := range r.Counts {
		total += count
	}
	return total
}

// Missed returns the number of requests that were not answered in time. Requests whose callers left do not count.
func (r *Row) Missed() int { return r.Total() - r.Counts[InTime] - r.Counts[CallerLeft] }

// Tally counts requests by group, the row with the most missed requests first. Requests whose group is "" are left
// out.
func Tally(requests []Request, group func(Request) string) []Row {
	counts := map[string]map[Outcome]int{}
	for _, request := range requests {
		name := group(request)
		if name == "" {
			continue
		}
		if counts[name] == nil {
			counts[name] = map[Outcome]int{}
		}
		counts[name][request.Outcome]++
	}
	rows := make([]Row, 0, len(counts))
	for name, outcomes := range counts {
		rows = append(rows, Row{Name: name, Counts: outcomes})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Missed(), a.Missed()), cmp.Compare(b.Total(), a.Total()), cmp.Compare(a.Name, b.Name))
	})
	return rows
}
