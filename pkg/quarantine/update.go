package quarantine

import "time"

// Update holds what a box reports to others of its records.
type Update struct {
	Crashes  []CrashReport    `json:"crashes,omitempty"`
	Answered []AnsweredReport `json:"answered,omitempty"`
}

// CrashReport is a crash of an upstream, with how long ago it was and the requests that were in flight there.
type CrashReport struct {
	Upstream string        `json:"upstream"`
	Age      time.Duration `json:"age"`
	Requests []Fingerprint `json:"requests"`
}

// AnsweredReport is a request that was answered completely after crashes, with how long ago that was.
type AnsweredReport struct {
	Request Fingerprint   `json:"request"`
	Age     time.Duration `json:"age"`
}

// Empty reports whether the update has no reports.
func (u *Update) Empty() bool { return len(u.Crashes) == 0 && len(u.Answered) == 0 }

// Requests returns the requests that the update reports on.
func (u *Update) Requests() []Fingerprint {
	var list []Fingerprint
	for _, report := range u.Crashes {
		list = append(list, report.Requests...)
	}
	for _, report := range u.Answered {
		list = append(list, report.Request)
	}
	return list
}

// TakeChanged returns the requests whose records this box itself has changed since the last call.
func (r *Register) TakeChanged() []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.changed) == 0 {
		return nil
	}
	list := make([]Fingerprint, 0, len(r.changed))
	for f := range r.changed {
		list = append(list, f)
	}
	clear(r.changed)
	return list
}

// All returns all requests that have a record.
func (r *Register) All() []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Fingerprint
	for f := range r.records {
		list = append(list, f)
	}
	return list
}

// Update returns what this box knows of some requests. Crashes known only from the store are left out, because other
// boxes learn of them from the store too.
func (r *Register) Update(requests []Fingerprint) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	type group struct {
		upstream string
		at       time.Time
	}
	var update Update
	groups := map[group]int{}
	for _, f := range requests {
		rec := r.records[f]
		if rec == nil {
			continue
		}
		for _, c := range rec.crashes {
			key := group{c.upstream, c.at}
			index, ok := groups[key]
			if !ok {
				index = len(update.Crashes)
				groups[key] = index
				update.Crashes = append(update.Crashes, CrashReport{Upstream: c.upstream, Age: now.Sub(c.at)})
			}
			update.Crashes[index].Requests = append(update.Crashes[index].Requests, f)
		}
		if !rec.answered.IsZero() {
			update.Answered = append(update.Answered, AnsweredReport{Request: f, Age: now.Sub(rec.answered)})
		}
	}
	return update
}

// Merge merges the update of another box into the records, and returns the requests whose records changed.
func (r *Register) Merge(update Update) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var changed []Fingerprint
	for _, report := range update.Answered {
		if rec := r.records[report.Request]; rec != nil && rec.addAnswer(now.Add(-report.Age)) {
			changed = append(changed, report.Request)
		}
	}
	for _, report := range update.Crashes {
		if report.Age < 0 || report.Age > recordRetention {
			continue
		}
		c := crash{upstream: report.Upstream, at: now.Add(-report.Age), knownSince: now, source: FromPeer}
		for _, f := range report.Requests {
			if r.add(f, c) {
				changed = append(changed, f)
			}
		}
	}
	return changed
}
