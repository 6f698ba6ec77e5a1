package placement

// Make before break: a replica may go only while another one keeps its unit reachable. That one
// must be confirmed by its engine, be in the plan that the engine's controller follows, and have
// settled at all boxes. The controllers apply the same rule to each unload (mayUnload in
// internal/box), with what they know then.

// idle reports whether a unit is neither wanted nor serving.
func (b *builder) idle(u *unit) bool {
	return !u.wanted && b.serving[u.Model] != u.Item.Name
}

// hallsOf lists the halls in which u has replicas on usable engines.
func (b *builder) hallsOf(u *unit) map[string]bool {
	halls := map[string]bool{}
	for _, id := range b.usableIDs(u) {
		halls[b.engines[id].Hall] = true
	}
	return halls
}

// droppable reports whether u stays reachable, with its adapters, when e's replica goes.
// A retired unit needs no other replica, only its time.
func (b *builder) droppable(u *unit, e *engine) bool {
	if b.idle(u) {
		return b.in.Now.Sub(u.retired) >= b.in.Settings.RetireAfter
	}
	if u.on[e.ID] == b.number {
		return false // This plan has just added it.
	}
	for id := range u.on {
		if id != e.ID && b.confirmedOn(u, b.engines[id]) {
			return true
		}
	}
	return false
}

// confirmedOn reports whether a usable engine has confirmed a whole replica, its controller
// follows a plan that has the replica, and the replica has settled.
func (b *builder) confirmedOn(u *unit, e *engine) bool {
	return e.Condition == Usable && e.Plan >= u.on[e.ID] && e.holds(u) && b.settled(u, e)
}

// settled reports whether all items of u have been on e for Settings.Settle: by then all boxes
// have the record of it.
func (b *builder) settled(u *unit, e *engine) bool {
	latest := e.Resident[u.Item.Name]
	for _, adapter := range u.Adapters {
		if since := e.Resident[adapter.Name]; since.After(latest) {
			latest = since
		}
	}
	return b.in.Now.Sub(latest) >= b.in.Settings.Settle
}

// confirmedReplicas counts the replicas that keep u reachable.
func (b *builder) confirmedReplicas(u *unit) int {
	n := 0
	for id := range u.on {
		if b.confirmedOn(u, b.engines[id]) {
			n++
		}
	}
	return n
}

// usableReplicas counts u's planned replicas on usable engines, confirmed or not.
func (b *builder) usableReplicas(u *unit) int {
	n := 0
	for id := range u.on {
		if b.engines[id].Condition == Usable {
			n++
		}
	}
	return n
}

// holds reports whether e has confirmed the whole of u.
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

// usableIDs lists the usable engines that shall hold u, by id.
func (b *builder) usableIDs(u *unit) []string {
	var ids []string
	for _, e := range b.order {
		if u.plannedOn(e.ID) && e.Condition == Usable {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
