package box

import "ospreymoor.example/ospreymoor/pkg/membership"

// watchersPerHall is how many boxes of a hall watch the store. The others learn of changes by heartbeat. That makes
// 14 watches in seven halls, where one watch for each of 380 boxes would count as a call each
// (docs/design/records.md).
const watchersPerHall = 2

// members lists the fleet's entry boxes as this one sees them. Boxes that cannot reach the key-value service take no
// part in what needs it.
type members struct {
	self *self
	view *membership.View
}

// inHall lists the boxes of this hall that reach the store. This box is always included, even if it is the only one.
func (m *members) inHall() []string {
	ids := []string{m.self.id}
	for _, p := range m.view.Live() {
		if p.Hall == m.self.hall && p.Store {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// inFleet lists the boxes of all halls that reach the store. This box is always included.
func (m *members) inFleet() []string {
	ids := []string{m.self.id}
	for _, p := range m.view.Live() {
		if p.Store {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// selfWatchesStore reports whether this box is one of its hall's watchers: the first by rendezvous hashing.
func (m *members) selfWatchesStore() bool {
	return membership.IsAmongFirst("watch/"+m.self.hall, m.inHall(), m.self.id, watchersPerHall)
}
