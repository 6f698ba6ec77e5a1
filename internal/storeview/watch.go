package storeview

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/cluster"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

// These constants set when a box polls the store. Two boxes of the fleet (see cluster.Members.WatchRank) and the
// holder of the order lease watch it all the time. So changes that a silent watch did not send are found soon, and a
// large configuration reaches several halls at once. The other boxes learn of changes by the exchange between boxes.
// They poll the store only when their copy is no longer known to be current, because each answer of a watch is a call
// of the store.
const (
	// holderBatchDelay is how long changes are gathered into a batch on the holder of the order lease, which waits for
	// its orders to end. otherBatchDelay is the same for other boxes.
	holderBatchDelay = 150 * time.Millisecond
	otherBatchDelay  = 250 * time.Millisecond
	// joinBatchDelay is how long a box gathers changes while the store does not list it yet. Boxes that start together
	// register in that time, so that the first poll shows the box which relay to follow. It is half of what a box that
	// follows a relay may be behind. Boxes that read the whole store do not wait, or else nobody would poll it.
	joinBatchDelay = time.Second
	// firstWatcherPollTimeout is how long a watch may be silent on the box with watch rank 0, and otherPollTimeout on
	// the others. A compaction silences watches, and a configuration has to be in force on all boxes within 5 s.
	firstWatcherPollTimeout = 400 * time.Millisecond
	otherPollTimeout        = 800 * time.Millisecond
	// maxStaleness is how old the copy may be on a box that does not poll the store, and maxFollowerStaleness on a box
	// that follows a relay. Each box adds a random time of up to maxStalenessJitter, so that not all poll at once.
	maxStaleness         = 900 * time.Millisecond
	maxFollowerStaleness = 1300 * time.Millisecond
	maxStalenessJitter   = 600 * time.Millisecond
	// restoredWait is how long a box leaves it to the boxes that read first to read a store that came back from a copy, and
	// takes their copies. Each box adds a random time of up to restoredWaitJitter, so that the others do not read it together
	// if no copy comes. A box that follows a relay waits longer, unless its hall has more than maxRelayedHall boxes: a copy
	// takes the relay's link longer than that to reach them all.
	restoredWait               = 400 * time.Millisecond
	restoredWaitJitter         = 800 * time.Millisecond
	followerRestoredWait       = 2 * time.Second
	followerRestoredWaitJitter = time.Second
	maxRelayedHall             = 24
	// minCopyWait is how long a box that starts waits for another box's copy, where the store is too large for every box
	// to read it whole. Each box adds a random time of up to maxCopyWaitJitter: if no box has a copy, some read the
	// store, and the others get the copy from them.
	minCopyWait       = 4 * time.Second
	maxCopyWaitJitter = 4 * time.Second
)

// mayAwaitCopy reports whether this box may still wait for a first copy of a large store from other boxes.
func (v *View) mayAwaitCopy() bool {
	return !v.config.ReadsFullStore && time.Now().Before(v.copyWaitDeadline)
}

// maxReadByAll is the largest store, in records, that each box reads again when it came back from a copy: two pages. The
// store's link would carry a larger one for each box of the fleet.
const maxReadByAll = 900

// mayAwaitRestored reports whether this box may wait for its relay to bring what the store has after it came back from
// a copy.
func (v *View) mayAwaitRestored() bool {
	return v.config.Members.FollowsRelay() && v.recordCount.Load() > maxReadByAll
}

// leaveRestored reports whether this box leaves it to others for now to read a store that came back from a copy.
func (v *View) leaveRestored(known time.Duration) bool {
	wait, jitter := restoredWait, restoredWaitJitter
	if v.config.Members.FollowsRelay() && v.config.Members.HallBoxes() <= maxRelayedHall {
		wait, jitter = followerRestoredWait, followerRestoredWaitJitter
	}
	wait += time.Duration(v.restoredWaitShare * float64(jitter))
	return known < wait && !v.config.Members.ReadsFirst() && !v.config.OrderLease.Held()
}

// applyPartialSnapshot registers the boxes that are among the first records of a large store, so that they can be
// asked for the rest.
func (v *View) applyPartialSnapshot(records []kv.Record) {
	prefix := v.config.Platform.OwnPrefix + registrationKeySegment
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

// batchDelay returns how long changes are gathered before the store is polled for more.
func (v *View) batchDelay() time.Duration {
	switch {
	case v.config.OrderLease.Held():
		return holderBatchDelay
	case !v.config.Members.Listed() && !v.config.ReadsFullStore:
		return joinBatchDelay
	}
	return otherBatchDelay
}

// pollTimeout returns how long the store may delay the answer to a poll while nothing changes.
func (v *View) pollTimeout() time.Duration {
	if v.config.Members.WatchRank() == 0 {
		return firstWatcherPollTimeout
	}
	return otherPollTimeout
}

// pollAhead reports whether the store is polled again while changes are gathered. This holds for the boxes that watch
// it all the time, because a large configuration reaches all other boxes through them.
func (v *View) pollAhead() bool {
	if !v.config.Members.Listed() {
		return false
	}
	return v.config.OrderLease.Held() || v.config.Members.WatchRank() < cluster.Watchers
}

// followReason is why a box follows the store itself; empty if other boxes keep its copy up to date.
type followReason string

// The reasons to follow the store.
const (
	// followsForAll means that the box is one of those that watch the store for all boxes.
	followsForAll followReason = "watches for all boxes"
	// followsAsHolder means that the box holds the order lease.
	followsAsHolder followReason = "holds the order lease"
	// followsUnconfirmed means that the box's copy was never confirmed to be current.
	followsUnconfirmed followReason = "copy never confirmed"
	// followsStale means that the latest confirmation of the box's copy is too old.
	followsStale followReason = "copy not confirmed in time"
)

// mayPause reports whether this box need not poll the store, because other boxes confirm its copy in good time. A box
// whose copy was never confirmed has to poll, unless it follows a relay and a newer copy is arriving.
func (v *View) mayPause() bool {
	reason := v.followReason()
	v.logFollowReason(reason)
	return reason == ""
}

// followReason returns why this box has to follow the store itself; empty if it need not.
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
		// While entries change faster than copies spread between boxes, hardly any copy is ever current. If all boxes
		// of a large fleet polled the store then, its link would carry every change to each of them, and their copies
		// would fall further behind.
		if arrivalAge := v.mirror.ArrivalAge(); arrivalAge >= 0 && (age < 0 || arrivalAge < age) {
			age = arrivalAge
		}
	}
	switch {
	case age < 0:
		return followsUnconfirmed
	case age >= limit+v.jitter:
		return followsStale
	}
	return ""
}

// logFollowReason logs when this box begins to follow the store, follows it for another reason, or stops following
// it.
func (v *View) logFollowReason(reason followReason) {
	if reason == v.lastFollowReason {
		return
	}
	v.lastFollowReason = reason
	if reason == "" {
		v.config.Log.Info("store left to other boxes", zap.Int64("revision", kv.SequenceOf(v.mirror.State().Revision)))
		return
	}
	v.config.Log.Info("store followed",
		zap.String("reason", string(reason)),
		zap.String("relay", v.config.Members.Relay()),
		zap.Int("watchRank", v.config.Members.WatchRank()),
		zap.Bool("listed", v.config.Members.Listed()),
		zap.Int("boxes", v.config.Members.Boxes()),
		zap.Duration("staleness", v.mirror.Staleness()),
		zap.Duration("arriving", v.mirror.ArrivalAge()),
		zap.Int64("revision", kv.SequenceOf(v.mirror.State().Revision)))
}
