package storeview

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

// When the store is asked. Two boxes of the fleet (see cluster.Members.WatchRank) and the holder of the order lease ask
// it all the time by a watch, so that changes that a silent watch did not send are found soon, and a large
// configuration comes to several halls at once. The others learn of changes by the exchange, and ask only when their copy
// is not known to be current any more, because each answer of a watch is a call of the store.
const (
	// holderBatch is for how long changes are gathered on the holder of the order lease, which
	// waits for the ends of its orders, and otherBatch on the other boxes.
	holderBatch = 150 * time.Millisecond
	otherBatch  = 250 * time.Millisecond
	// joinBatch is for how long changes are gathered by a box that the store has yet to list. Boxes that start
	// together register meanwhile, so that its first poll shows it whom it follows. Half of what a box that
	// follows a relay may be behind. Those that read the store whole go on asking: else nobody would.
	joinBatch = time.Second
	// firstPoll is how long a watch may be silent on the first watching box, and otherPoll on the
	// others. A compaction silences watches, and a configuration is to be in force on all boxes within 5 s.
	firstPoll = 400 * time.Millisecond
	otherPoll = 800 * time.Millisecond
	// maxStaleness is how old the copy may be on a box that does not ask, and maxFollowerStaleness
	// on one that follows a relay. Up to stalenessSpread is added, another time on each box, so
	// that not all ask at once.
	maxStaleness         = 900 * time.Millisecond
	maxFollowerStaleness = 1300 * time.Millisecond
	stalenessSpread      = 600 * time.Millisecond
	// copyWait is for how long a box that starts awaits the copy of another one where the store is too large for each to read it whole.
	// Up to copySpread is added, another time on each box, so that where nobody has one some read it, and the others get it from them.
	copyWait   = 4 * time.Second
	copySpread = 4 * time.Second
)

// awaitsCopy reports whether a first copy of a large store is awaited from other boxes.
func (v *View) awaitsCopy() bool { return !v.config.ReadsWhole && time.Now().Before(v.awaitsUntil) }

// takePart takes the boxes that the first records of a large store name, so that they can be asked for the rest.
func (v *View) takePart(records []kv.Record) {
	prefix := v.config.Platform.OwnPrefix + boxPart
	var list []cluster.Box
	for _, record := range records {
		if !strings.HasPrefix(record.Key, prefix) {
			continue
		}
		if box := v.decodeBox(record, false); !box.unusable {
			list = append(list, box.Box)
		}
	}
	v.config.Log.Info("store too large to be read whole: a copy is awaited from other boxes", zap.Int("boxes", len(list)))
	v.config.Members.SetRegistered(list)
}

// batchDelay is for how long changes are gathered before the store is asked for more.
func (v *View) batchDelay() time.Duration {
	switch {
	case v.config.OrderLease.Held():
		return holderBatch
	case !v.config.Members.Listed() && !v.config.ReadsWhole:
		return joinBatch
	}
	return otherBatch
}

// pollTimeout is how long the store may hold back the answer of a watch without changes.
func (v *View) pollTimeout() time.Duration {
	if v.config.Members.WatchRank() == 0 {
		return firstPoll
	}
	return otherPoll
}

// pollAhead reports whether the store is asked again while changes gather: on the boxes that watch it all the time, by
// which a large configuration reaches all others.
func (v *View) pollAhead() bool {
	if !v.config.Members.Listed() {
		return false
	}
	return v.config.OrderLease.Held() || v.config.Members.WatchRank() < cluster.Watchers
}

// followReason is why a box asks the store itself; empty if others keep its copy up to date.
type followReason string

// The reasons.
const (
	// followsForAll: it is one of those that watch the store for all.
	followsForAll followReason = "watches for all boxes"
	// followsAsHolder: it holds the order lease.
	followsAsHolder followReason = "holds the order lease"
	// followsUnconfirmed: no copy that it has reached was ever known to be current.
	followsUnconfirmed followReason = "copy never confirmed"
	// followsStale: its copy was not known to be current for too long.
	followsStale followReason = "copy not confirmed in time"
)

// paused reports whether the store need not be asked, because other boxes confirm the copy in good
// time. A copy that was never current is always asked for.
func (v *View) paused() bool {
	reason := v.followReason()
	v.noteFollowing(reason)
	return reason == ""
}

func (v *View) followReason() followReason {
	if v.config.Members.WatchRank() < cluster.Watchers {
		return followsForAll
	}
	if v.config.OrderLease.Held() {
		return followsAsHolder
	}
	limit, age := maxStaleness, v.mirror.Staleness()
	if v.config.Members.FollowsRelay() {
		limit = maxFollowerStaleness
		// While entries change faster than copies travel, hardly any copy is ever current. If all boxes of a large fleet asked the store
		// then, its link would carry every change to each of them, and they would be further behind.
		if arriving := v.mirror.Arriving(); arriving >= 0 && (age < 0 || arriving < age) {
			age = arriving
		}
	}
	switch {
	case age < 0:
		return followsUnconfirmed
	case age >= limit+v.spread:
		return followsStale
	}
	return ""
}

// noteFollowing logs when this box begins to ask the store itself, for another reason, or leaves it to other boxes.
func (v *View) noteFollowing(reason followReason) {
	if reason == v.following {
		return
	}
	v.following = reason
	if reason == "" {
		v.config.Log.Info("store left to other boxes", zap.Int64("revision", v.mirror.State().Revision))
		return
	}
	v.config.Log.Info("store followed",
		zap.String("reason", string(reason)),
		zap.String("relay", v.config.Members.Relay()),
		zap.Int("watchRank", v.config.Members.WatchRank()),
		zap.Bool("listed", v.config.Members.Listed()),
		zap.Int("boxes", v.config.Members.Boxes()),
		zap.Duration("staleness", v.mirror.Staleness()),
		zap.Duration("arriving", v.mirror.Arriving()),
		zap.Int64("revision", v.mirror.State().Revision))
}
