package fleet

import (
	"encoding/json"
	"time"
)

// HallLosses are what a box tells another one.
type HallLosses []HallLoss

// UnmarshalJSON reads losses. It never fails, so that unreadable ones lose nothing else of their message; they tell
// nothing.
func (l *HallLosses) UnmarshalJSON(text []byte) error {
	var read []HallLoss
	if json.Unmarshal(text, &read) != nil {
		read = nil
	}
	*l = read
	return nil
}

// HallLoss is what a box tells another one of a hall that it does not reach.
type HallLoss struct {
	Hall string `json:"hall"`
	// Age is how long ago the latest failure there was.
	Age time.Duration `json:"age"`
	// Relayed means that another box told the sender. It is not passed on again, so that no loss renews itself on its
	// way.
	Relayed bool `json:"relayed,omitempty"`
}

// maxHallLosses bounds the halls of which a box tells another one.
const maxHallLosses = 16

// Losses returns the halls that this box tells another one of as out of reach.
func (r *Reach) Losses() HallLosses {
	if r.failing.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var list HallLosses
	for hall, failures := range r.halls {
		if now.Before(failures.lostUntil) && failures.origin != toldByRelay && len(list) < maxHallLosses {
			list = append(list, HallLoss{Hall: hall, Age: now.Sub(failures.lostUntil.Add(-outOfReachFor)), Relayed: failures.origin == toldByBox})
		}
	}
	return list
}

// ApplyLosses applies what another box of this one's hall does not reach: it sees the same network. A hall from which
// this box has heard something since stays within reach.
func (r *Reach) ApplyLosses(losses HallLosses) {
	now := time.Now()
	for _, loss := range losses[:min(len(losses), maxHallLosses)] {
		if loss.Hall == "" || loss.Age < 0 || loss.Age >= outOfReachFor {
			continue
		}
		if r.applyLoss(loss, now) && r.OnLost != nil {
			r.OnLost(loss.Hall)
		}
	}
}

func (r *Reach) applyLoss(loss HallLoss, now time.Time) (lost bool) {
	failedAt := now.Add(-loss.Age)
	if heard := r.lastHeard(loss.Hall); heard.IsZero() || !heard.Before(failedAt) {
		return false // A hall of which this box never heard need not exist.
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	failures := r.failuresOf(loss.Hall)
	until := failedAt.Add(outOfReachFor)
	if !until.After(failures.lostUntil) {
		return false
	}
	lost = !now.Before(failures.lostUntil)
	if lost {
		failures.lostAt = now
	}
	failures.lostUntil, failures.origin = until, toldByBox
	if loss.Relayed {
		failures.origin = toldByRelay
	}
	return lost
}
