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
	at := strings.LastIndex(id, bornSeparator)
	if at < 0 {
		return id
	}
	if _, err := strconv.ParseUint(id[at+len(bornSeparator):], 10, 63); err != nil {
		return id
	}
	return id[:at]
}
