package node

import (
	"time"

	"ospreymoor.example/ospreymoor/pkg/fleet"
)

// statedLimit is the limit, in requests per second, that an engine's answers state from a time on. A negative
// perSecond means that they state none.
type statedLimit struct {
	perSecond float64
	from      time.Time
}

// Bounds that the platform sets for the requests that an engine with a limit gets.
const (
	// limitGrace is how long after its first answer with a limit the requests of a box begin to count. limitSettleTime
	// is how long after an engine first states a limit its requests begin to be checked.
	limitGrace      = 500 * time.Millisecond
	limitSettleTime = 3 * time.Second
	// limitWindow is the time in which requests are counted. In it, limitOverage times the limit and limitSlack more
	// requests are allowed.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// addLimit adds the engine's limit to the notice in an answer to a box. The caller holds the fleet's noticeMu.
func (e *noticeEngine) addLimit(box int, now time.Time, notice *fleet.Notice) {
	if len(e.limits) == 0 || e.limits[len(e.limits)-1].perSecond < 0 {
		notice.Unlimited = true
		return
	}
	limit := e.limits[len(e.limits)-1].perSecond
	notice.Limit = &limit
	if _, ok := e.limitStatedAt[box]; !ok {
		e.limitStatedAt[box] = now
	}
}

// setLimit makes every n-th engine, where n is every, state a limit from now on; a negative one means none.
func (n *noticeFleet) setLimit(every int, perSecond float64) {
	n.eachNth(every, func(e *noticeEngine) {
		e.limits = append(e.limits, statedLimit{perSecond: perSecond, from: time.Now()})
	})
}

// highestLimit returns the highest limit that an engine stated in a span of time, and whether it stated one all the
// time.
func (e *noticeEngine) highestLimit(from, until time.Time) (highest float64, always bool) {
	always = len(e.limits) > 0 && !from.Before(e.limits[0].from)
	for k, limit := range e.limits {
		over := k+1 < len(e.limits) && !e.limits[k+1].from.After(from)
		if over || limit.from.After(until) {
			continue
		}
		highest = max(highest, limit.perSecond)
		always = always && limit.perSecond >= 0
	}
	return highest, always
}

// limitCount counts the requests that engines with limits got.
type limitCount struct {
	// exceeded counts the windows with more requests than allowed from boxes that had received the limit. There is one
	// window for each request, which ends with it. worstExcess is the largest excess in a window.
	exceeded    int
	worstExcess float64
	// exceededByAll counts the windows with more requests than allowed from all boxes.
	exceededByAll int
	// received counts the requests while the engines stated a limit, and uninformed those of them that came from boxes
	// that had not received the limit in an answer yet.
	received, uninformed int
	// afterEnd counts the requests later than limitGrace after the end of a limit.
	afterEnd int
	// allowed is the number of requests that the limits allow over that time, without overage and slack.
	allowed float64
}

// countLimited counts the requests until now at engines that stated a limit. It checks those of all boxes except the
// excused ones against the limit.
func (n *noticeFleet) countLimited(excused func(box int) bool) limitCount {
	n.noticeMu.Lock()
	defer n.noticeMu.Unlock()
	var count limitCount
	for _, engine := range n.engines {
		if len(engine.limits) > 0 {
			engine.countLimit(&count, time.Now(), excused)
		}
	}
	return count
}

// inWindow drops the times before the window that ends at a time.
func inWindow(times []time.Time, end time.Time) []time.Time {
	for len(times) > 0 && end.Sub(times[0]) > limitWindow {
		times = times[1:]
	}
	return times
}

// excess returns how many requests more than allowed a window has; 0 or less means that all are allowed.
func (e *noticeEngine) excess(window []time.Time) float64 {
	end := window[len(window)-1]
	highest, always := e.highestLimit(end.Add(-limitWindow-limitGrace), end)
	if !always {
		return 0
	}
	return float64(len(window)) - limitOverage*highest*limitWindow.Seconds() - limitSlack
}

func (e *noticeEngine) countLimit(count *limitCount, now time.Time, excused func(box int) bool) {
	settled := e.limits[0].from.Add(limitSettleTime)
	var ofInformed, ofAll []time.Time
	for k, at := range e.allArrivals {
		if _, stated := e.highestLimit(at, at); !stated {
			if at.Sub(e.limits[len(e.limits)-1].from) > limitGrace {
				count.afterEnd++
			}
			continue
		}
		count.received++
		informedAt, informed := e.limitStatedAt[e.sentBy[k]]
		if !informed || !at.After(informedAt) {
			count.uninformed++
		}
		if at.Before(settled) || excused(e.sentBy[k]) {
			continue
		}
		ofAll = append(inWindow(ofAll, at), at)
		if e.excess(ofAll) > 0 {
			count.exceededByAll++
		}
		if !informed || at.Sub(informedAt) < limitGrace {
			continue
		}
		ofInformed = append(inWindow(ofInformed, at), at)
		if excess := e.excess(ofInformed); excess > 0 {
			count.exceeded++
			count.worstExcess = max(count.worstExcess, excess)
		}
	}
	for k, limit := range e.limits {
		end := now
		if k+1 < len(e.limits) {
			end = e.limits[k+1].from
		}
		count.allowed += max(0, limit.perSecond) * end.Sub(limit.from).Seconds()
	}
}
