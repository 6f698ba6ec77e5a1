package quarantine

import "time"

// Update is what a box tells others of its records.
type Update struct {
	Crashes  []CrashReport    `json:"crashes,omitempty"`
	Answered []AnsweredReport `json:"answered,omitempty"`
}

// CrashReport is a crash of an upstream, with the requests that were under way there.
type CrashReport struct {
	Upstream string        `json:"upstream"`
	Age      time.Duration `json:"age"`
	Requests []Fingerprint `json:"requests"`
}

// AnsweredReport is a request that was answered whole after crashes.
type AnsweredReport struct {
	Request Fingerprint   `json:"request"`
	Age     time.Duration `json:"age"`
}

// Empty reports whether there is nothing to tell.
func (u *Update) Empty() bool { return len(u.Crashes) == 0 && len(u.Answered) == 0 }

// Requests are those that the update has news of.
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

// TakeChanged returns the requests whose records have news of this box since the last call.
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

// All returns all requests that are known of.
func (r *Register) All() []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Fingerprint
	for f := range r.records {
		list = append(list, f)
	}
	return list
}

// Update is what this box knows of some requests. What only the store has told is left out: it tells others as well.
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
		known := r.records[f]
		if known == nil {
			continue
		}
		for _, c := range known.crashes {
			key := group{c.upstream, c.at}
			at, ok := groups[key]
			if !ok {
				at = len(update.Crashes)
				groups[key] = at
				update.Crashes = append(update.Crashes, CrashReport{Upstream: c.upstream, Age: now.Sub(c.at)})
			}
			update.Crashes[at].Requests = append(update.Crashes[at].Requests, f)
		}
		if !known.answered.IsZero() {
			update.Answered = append(update.Answered, AnsweredReport{Request: f, Age: now.Sub(known.answered)})
		}
	}
	return update
}

// Take takes in what another box told, and returns the requests that it was news of.
func (r *Register) Take(update Update) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var news []Fingerprint
	for _, report := range update.Answered {
		if known := r.records[report.Request]; known != nil && known.answer(now.Add(-report.Age)) {
			news = append(news, report.Request)
		}
	}
	for _, report := range update.Crashes {
		if report.Age < 0 || report.Age > memory {
			continue
		}
		c := crash{upstream: report.Upstream, at: now.Add(-report.Age), known: now, source: FromPeer}
		for _, f := range report.Requests {
			if r.add(f, c) {
				news = append(news, f)
			}
		}
	}
	return news
}
