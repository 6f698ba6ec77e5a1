// Package mirrortest makes record sets of a mirror for specs.
package mirrortest

import (
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

// Records returns a record set as a mirror holds it.
func Records(list ...kv.Record) mirror.Records {
	var m mirror.Mirror
	m.ApplyDelta(mirror.Delta{Revision: 1, Changed: list})
	return m.State().Records
}
