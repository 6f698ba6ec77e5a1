package fleet

import (
	"maps"
	"time"
)

// disk names what outlives an engine's restart: the address stays, though the id changes.
type disk struct {
	service, address string
}

// noteDisk notes which models an entry lists. The caller holds the lock.
func (d *Directory) noteDisk(upstream Upstream) {
	key := disk{upstream.Service, upstream.Address}
	for _, holding := range upstream.Models {
		if d.disks[key] == nil {
			d.disks[key] = map[string]time.Time{}
		}
		d.disks[key][holding.Model] = time.Now()
	}
}

// ModelsOnDisk returns when models were last listed for the engine at an upstream's address, also
// before its latest restart.
func (d *Directory) ModelsOnDisk(upstream Upstream) map[string]time.Time {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return maps.Clone(d.disks[disk{upstream.Service, upstream.Address}])
}
