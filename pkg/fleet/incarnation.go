package fleet

import (
	"strconv"
	"strings"
)

// startSeparator separates an upstream's name from its start time, in its id.
const startSeparator = "@"

// IncarnationID returns the id of one incarnation of an upstream, from its name and the start time of
// its process in milliseconds since 1970; 0 or less means that it is not known. Everything known about
// an upstream is stored under this id. So nothing of an earlier process counts for one that restarted
// under the same name: connections, loads, ejections, what it holds, how many orders it took.
func IncarnationID(name string, startMillis int64) string {
	if startMillis <= 0 {
		return name
	}
	return name + startSeparator + strconv.FormatInt(startMillis, 10)
}

// NameOf returns the name of the upstream that an id belongs to. All incarnations of an upstream share
// it.
func NameOf(id string) string {
	name, _ := splitID(id)
	return name
}

// splitID returns the name and the start time of an id; the start time is 0 if it is not known.
func splitID(id string) (name string, startMillis int64) {
	at := strings.LastIndex(id, startSeparator)
	if at < 0 {
		return id, 0
	}
	parsed, err := strconv.ParseUint(id[at+len(startSeparator):], 10, 63)
	if err != nil {
		return id, 0
	}
	return id[:at], int64(parsed)
}

// replaces reports whether, of two upstreams at one address, this one is the later: by their start
// times if both are known, else by which entry was written last. When a network partition ends, the
// last write of a process that is gone may arrive after the first write of its successor.
func (u *Upstream) replaces(other *Upstream) bool {
	_, start := splitID(u.ID)
	_, otherStart := splitID(other.ID)
	if start > 0 && otherStart > 0 && start != otherStart {
		return start > otherStart
	}
	return u.Revision > other.Revision
}
