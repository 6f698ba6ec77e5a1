package gateway

import (
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/routes"
)

// Platform is the port to what the platform tells.
type Platform struct {
	Store kv.Store
	// ConfigPrefix and BackendPrefix are the keys that the platform writes; OwnPrefix those that
	// this program does.
	ConfigPrefix   string
	UpstreamPrefix string
	OwnPrefix      string
	// DecodeTable decodes the configuration; nil without an error if there is none.
	DecodeTable func(records map[string]kv.Record) (*routes.Table, error)
	// DecodeUpstream decodes one entry of the list of back ends.
	DecodeUpstream func(record kv.Record) (fleet.Upstream, error)
}
