package box

import (
	"strings"

	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// Names of the records that boxes share. The table of bundles in force is bundle.TableKey.
const (
	// storePrefix is the common prefix of the table in force and the plan, so that one watch of the store covers
	// both.
	storePrefix    = "fleet/"
	planRecord     = "fleet/plan"
	boxListRecord  = "boxes"
	holdingsPrefix = "holdings/"
	loadsPrefix    = "loads/"
)

// isShared reports whether a record's generation is sent with heartbeats. Bundle texts are not; they are fetched when
// they are needed.
func isShared(name string) bool {
	return name == bundle.TableKey || name == planRecord || name == boxListRecord ||
		strings.HasPrefix(name, holdingsPrefix) || strings.HasPrefix(name, loadsPrefix)
}

// isUrgent reports whether a record must reach all boxes within seconds. Each heartbeat carries its generation.
func isUrgent(name string) bool { return strings.HasPrefix(name, storePrefix) }

func hasRecord(cache *records.Cache, name string) bool {
	_, ok := cache.Get(name)
	return ok
}
