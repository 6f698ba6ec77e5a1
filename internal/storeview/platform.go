package storeview

import (
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Platform is the port to what the platform keeps in its store.
type Platform struct {
	Store kv.Store
	// ConfigPrefix and UpstreamPrefix are the prefixes of the keys that the platform writes;
	// OwnPrefix is that of the keys that this program writes.
	ConfigPrefix   string
	UpstreamPrefix string
	OwnPrefix      string
	// EvacuationPrefix begins the keys that evacuate a hall, whose name follows, for as long as they exist; empty if there are none.
	EvacuationPrefix string
	// DecodeTable decodes the configuration; nil without an error if there is none.
	DecodeTable func(records map[string]kv.Record) (*routes.Table, error)
	// DecodeUpstream decodes one entry of the list of upstreams.
	DecodeUpstream func(record kv.Record) (fleet.Upstream, error)
}

// boxPart follows the own prefix in the keys of the boxes' registrations.
const boxPart = "nodes/"
