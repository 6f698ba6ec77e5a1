package cluster

import "sync"

// maxToldLeaving bounds the upstreams that one message tells of as leaving: with 40 bytes each they take a link of 10 Mbit/s 4 ms. A sixth
// of the engines of the size designed for.
const maxToldLeaving = 100

// leavingTurns is from where in the list of leaving upstreams each box is told next. Each message goes on where the one before ended, so that
// all are told in turn, also those that a lost answer had. It is safe for concurrent use.
type leavingTurns struct {
	mu   sync.Mutex
	from map[string]int
}

// next returns what one box is told now, out of all that leave.
func (t *leavingTurns) next(to string, all []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(all) <= maxToldLeaving {
		delete(t.from, to)
		return all
	}
	if t.from == nil {
		t.from = map[string]int{}
	}
	from := t.from[to] % len(all)
	t.from[to] = from + maxToldLeaving
	told := append([]string{}, all[from:min(len(all), from+maxToldLeaving)]...)
	return append(told, all[:maxToldLeaving-len(told)]...)
}
