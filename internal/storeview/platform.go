package storeview

import (
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Platform is the interface to the platform's store: its calls, its key prefixes and its decoders.
type Platform struct {
	Store kv.Store
	// ConfigPrefix and UpstreamPrefix are the prefixes of the keys that the platform writes.
	// OwnPrefix is the prefix of the keys that this program writes.
	ConfigPrefix   string
	UpstreamPrefix string
	OwnPrefix      string
	// EvacuationPrefix is the prefix of the keys that evacuate halls. The name of the hall follows it, and the hall is
	// evacuated as long as the key exists. It is empty if the platform has no such keys.
	EvacuationPrefix string
	// DecodeTable decodes the configuration. It returns nil without an error if there is none.
	DecodeTable func(records map[string]kv.Record) (*routes.Table, error)
	// DecodeUpstream decodes one entry of the list of upstreams.
	DecodeUpstream func(record kv.Record) (fleet.Upstream, error)
}

// registrationKeySegment follows OwnPrefix in the keys of the boxes' registrations.
const registrationKeySegment = "nodes/"
