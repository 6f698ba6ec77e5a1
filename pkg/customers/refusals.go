package customers

import "time"

// refusals holds what a box remembers of the refusals of one customer: one for each class that was refused lately,
// up to maxClasses. A refusal binds the requests of its service that are no more urgent; others may be granted.
type refusals struct {
	list []refusal
	// latest is the latest refusal, whatever its class.
	latest refusal
	// unasked is the cost of the requests refused without asking, by class, since the last SpendRequest.
	unasked map[Class]float64
}

// refusal is a verdict that a box gives to requests of a class until a time, without asking.
type refusal struct {
	class   Class
	until   time.Time
	at      time.Time
	verdict Verdict
}

// binding returns the refusal that binds a class now, or nil: of several, that of the class itself or the nearest to it,
// whose retry time is the nearest, too.
func (r *refusals) binding(class Class, now time.Time) *refusal {
	var nearest *refusal
	for i := range r.list {
		known := &r.list[i]
		binds := known.class.Service == class.Service && known.class.Urgency <= class.Urgency && now.Before(known.until)
		if binds && (nearest == nil || known.class.Urgency > nearest.class.Urgency) {
			nearest = known
		}
	}
	return nearest
}

// add remembers a refusal until its retry time, but for at most refusalTTL. One that binds already is not extended.
func (r *refusals) add(class Class, refused Verdict, now time.Time) {
	added := refusal{class: class, until: now.Add(min(refusalTTL, refused.RetryAfter)), at: now, verdict: refused}
	r.latest = added
	kept := r.list[:0]
	for _, known := range r.list {
		switch {
		case !now.Before(known.until):
			continue
		case known.class == class:
			added.until = known.until
			continue
		}
		kept = append(kept, known)
	}
	r.list = kept
	if len(r.list) < maxClasses {
		r.list = append(r.list, added)
	}
}

// refuse returns the verdict of a request that is refused without asking, by a refusal that binds its class.
func (r *refusals) refuse(class Class, cost float64, by refusal, now time.Time) Verdict {
	if r.unasked == nil {
		r.unasked = map[Class]float64{}
	}
	if _, known := r.unasked[class]; known || len(r.unasked) < maxClasses {
		r.unasked[class] += cost
	}
	v := by.verdict
	if v.RetryAfter <= 0 {
		v.RetryAfter = refusalTTL // No request was refused yet, but maxPending is reached.
	}
	v.Age += now.Sub(by.at)
	return v
}

// report adds the unasked costs to a list of classes and forgets them.
func (r *refusals) report(list *ClassList) {
	for class, cost := range r.unasked {
		i := list.index(class)
		if i < 0 {
			continue
		}
		for len(list.Unasked) <= i {
			list.Unasked = append(list.Unasked, 0)
		}
		list.Unasked[i] += cost
	}
	r.unasked = nil
}
