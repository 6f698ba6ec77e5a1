package places

import (
	"testing"
	"time"
)

// BenchmarkAccount measures one ask, its place and its return while 30 asks wait for 32 places.
func BenchmarkAccount(b *testing.B) {
	upstreams := []Upstream{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}, {ID: "c", Slots: 6}, {ID: "d", Slots: 6}}
	now := time.Now()
	account := NewAccount(now)
	ask := Ask{Aim: 10 * time.Second, Deadline: 10 * time.Second}
	id := uint64(0)
	granted := make([]uint64, 0, 64)
	for b.Loop() {
		now = now.Add(2 * time.Millisecond)
		id++
		ask.ID = id
		account.Update(upstreams, 1, noneRunning, now)
		account.Offer(ask, now)
		for _, grant := range account.Assign(now) {
			granted = append(granted, grant.ID)
		}
		if id > 62 {
			account.Return(Return{ID: granted[0], Result: Served}, now)
			granted = granted[1:]
		}
	}
}
