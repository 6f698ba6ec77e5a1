package placement

// Make before break: a replica may be removed only while another one keeps its unit reachable. The other replica must
// be confirmed by its engine, be part of the plan that the engine's controller follows, and have been confirmed for
// long enough that all boxes know it. The controllers apply the same rule to each unload (mayUnload in internal/box),
// with what they know at that time.

// idle reports whether a unit is neither wanted nor serving.
func (b *builder) idle(u *unit) bool {
	return !u.wanted && b.serving[u.Model] != u.Item.Name
}

// hallsOf returns the halls in which u has replicas on usable engines.
func (b *builder) hallsOf(u *unit) map[string]bool {
	halls := map[string]bool{}
	for _, id := range b.usableIDs(u) {
		halls[b.engines[id].Hall] = true
	}
	return halls
}

// droppable reports whether u stays reachable, with its adapters, if e's replica is removed. A retired unit
// needs no other replica, but must have been retired for Settings.RetireAfter.
func (b *builder) droppable(u *unit, e *engine) bool {
	if b.idle(u) {
		return b.in.Now.Sub(u.retired) >= b.in.Settings.RetireAfter
	}
	if u.replicas[e.ID] == b.number {
		return false // This plan has added the replica.
	}
	for id := range u.replicas {
		if id != e.ID && b.confirmedOn(u, b.engines[id]) {
			return true
		}
	}
	return false
}

// confirmedOn reports whether a usable engine has confirmed a whole replica of u, its controller follows a
// plan that has the replica, and the replica has settled.
func (b *builder) confirmedOn(u *unit, e *engine) bool {
	return e.Condition == Usable && e.Plan >= u.replicas[e.ID] && e.holds(u) && b.settled(u, e)
}

// settled reports whether all items of u have been known to be on e for Settings.SettleTime. By then all boxes
// have received the record of them.
func (b *builder) settled(u *unit, e *engine) bool {
	latest := e.Resident[u.Item.Name]
	for _, adapter := range u.Adapters {
		if since := e.Resident[adapter.Name]; since.After(latest) {
			latest = since
		}
	}
	return b.in.Now.Sub(latest) >= b.in.Settings.SettleTime
}

// confirmedReplicas returns the number of replicas that keep u reachable.
func (b *builder) confirmedReplicas(u *unit) int {
	n := 0
	for id := range u.replicas {
		if b.confirmedOn(u, b.engines[id]) {
			n++
		}
	}
	return n
}

// usableReplicas returns the number of u's planned replicas on usable engines, confirmed or not.
func (b *builder) usableReplicas(u *unit) int {
	n := 0
	for id := range u.replicas {
		if b.engines[id].Condition == Usable {
			n++
		}
	}
	return n
}

// holds reports whether e has confirmed u with all of its adapters.
func (e *engine) holds(u *unit) bool {
	if _, ok := e.Resident[u.Item.Name]; !ok {
		return false
	}
	for _, adapter := range u.Adapters {
		if _, ok := e.Resident[adapter.Name]; !ok {
			return false
		}
	}
	return true
}

// usableIDs returns the ids of the usable engines that shall hold u, in order.
func (b *builder) usableIDs(u *unit) []string {
	var ids []string
	for _, e := range b.sortedEngines {
		if u.plannedOn(e.ID) && e.Condition == Usable {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
