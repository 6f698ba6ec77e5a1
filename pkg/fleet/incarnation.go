package fleet

import (
	"strconv"
	"strings"
)

// bornSeparator stands between an upstream's name and when it was born, in its id.
const bornSeparator = "@"

// IncarnationID is the id of one life of an upstream, from its name and when it was born, in milliseconds since 1970; 0 is not
// known. All that is known of an upstream is known by this id, so that nothing of a former life counts for one that started again
// under the same name: connections, loads, ejections, what it holds, how many orders it took.
func IncarnationID(name string, born int64) string {
	if born <= 0 {
		return name
	}
	return name + bornSeparator + strconv.FormatInt(born, 10)
}

// NameOf is the name of the upstream that an id is of, the same in all its lives.
func NameOf(id string) string {
	name, _ := splitID(id)
	return name
}

// splitID returns the name and the start of an id; 0 if it is not known.
func splitID(id string) (name string, born int64) {
	at := strings.LastIndex(id, bornSeparator)
	if at < 0 {
		return id, 0
	}
	start, err := strconv.ParseUint(id[at+len(bornSeparator):], 10, 63)
	if err != nil {
		return id, 0
	}
	return id[:at], int64(start)
}

// replaces reports whether, of two upstreams at one address, this one is the later: by their starts where both are known, else by which
// entry was written last. The last write of one that is gone may come after the first of its successor, when a cut ends.
func (u *Upstream) replaces(other *Upstream) bool {
	_, born := splitID(u.ID)
	_, otherBorn := splitID(other.ID)
	if born > 0 && otherBorn > 0 && born != otherBorn {
		return born > otherBorn
	}
	return u.Revision > other.Revision
}
