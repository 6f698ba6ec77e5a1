package quarantine

import "time"

// TakeChanged returns the parts of which this box has changes to report since the last call.
func (r *PartRegister) TakeChanged() []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := keysOf(r.changed)
	clear(r.changed)
	return list
}

// All returns all parts that a crash is known of.
func (r *PartRegister) All() []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[Fingerprint]bool{}
	for _, crash := range r.crashes {
		for part := range crash.parts {
			known[part] = true
		}
	}
	return keysOf(known)
}

func keysOf(set map[Fingerprint]bool) []Fingerprint {
	var list []Fingerprint
	for part := range set {
		list = append(list, part)
	}
	return list
}

// Update returns what this box knows of some parts: the crashes, and when the parts were last answered.
func (r *PartRegister) Update(parts []Fingerprint) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var update Update
	answered := map[Fingerprint]time.Time{}
	for _, part := range parts {
		answered[part] = r.answers.latest(part)
	}
	for _, crash := range r.crashes {
		report := CrashReport{Upstream: crash.upstream, Age: now.Sub(crash.at)}
		for _, part := range parts {
			clearedAt, known := crash.parts[part]
			if !known {
				continue
			}
			report.Requests = append(report.Requests, part)
			if clearedAt.After(answered[part]) {
				answered[part] = clearedAt
			}
		}
		if len(report.Requests) > 0 {
			update.Crashes = append(update.Crashes, report)
		}
	}
	for part, at := range answered {
		if !at.IsZero() {
			update.Answered = append(update.Answered, AnsweredReport{Request: part, Age: now.Sub(at)})
		}
	}
	return update
}

// Merge merges the update of another box into the records, and returns the parts whose records changed.
func (r *PartRegister) Merge(update Update) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	changed := map[Fingerprint]bool{}
	for _, report := range update.Crashes {
		if report.Age < 0 || report.Age > recordRetention {
			continue
		}
		crash := partCrash{upstream: report.Upstream, at: now.Add(-report.Age), knownSince: now, source: FromPeer}
		for _, part := range r.add(crash, report.Requests) {
			changed[part] = true
		}
	}
	for _, report := range update.Answered {
		if report.Age >= 0 && r.addAnswer(report.Request, now.Add(-report.Age), now) {
			changed[report.Request] = true
		}
	}
	if r.dirty {
		r.evaluate(now)
	}
	return keysOf(changed)
}
