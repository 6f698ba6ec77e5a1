// Package mirrortest makes states of a mirror for specs.
package mirrortest

import (
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// Records returns records by their keys, as a mirror holds them.
func Records(list ...kv.Record) mirror.Records {
	var m mirror.Mirror
	m.ApplyDelta(mirror.Delta{Revision: 1, Changed: list})
	return m.State().Records
}
