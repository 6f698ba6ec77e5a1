package fleet

import (
	"slices"
	"time"

	"ospreymoor.example/ospreymoor/pkg/origins"
)

// VersionRetention is the time for which a software version counts as in use after its last upstream is gone: as long as
// it is on record which streams it began.
const VersionRetention = origins.Retention

// versionUse is the use of one software version of a service.
type versionUse struct {
	// upstreams is the number of upstreams that run it.
	upstreams int
	// firstSeen is when this box learned of it, and lastSeen when it last knew of an upstream that runs it.
	firstSeen, lastSeen time.Time
}

// inUse reports whether streams of the version may still go on.
func (u *versionUse) inUse(now time.Time) bool {
	return u.upstreams > 0 || now.Sub(u.lastSeen) < VersionRetention
}

// serviceVersions holds the software versions of a service's upstreams.
type serviceVersions map[string]*versionUse

// maxVersions bounds the versions of one service that are remembered. Others are remembered while upstreams run them.
const maxVersions = 32

// versionUses holds the software versions in use, by service. The caller holds the directory's lock.
type versionUses map[string]serviceVersions

func (v versionUses) add(service, version string, upstreams int) {
	now := time.Now()
	versions := v[service]
	if versions == nil {
		versions = serviceVersions{}
		v[service] = versions
	}
	use := versions[version]
	if use == nil {
		versions.expire(now)
		if upstreams == 0 && len(versions) >= maxVersions {
			return
		}
		use = &versionUse{firstSeen: now}
		versions[version] = use
	}
	use.upstreams += upstreams
	use.lastSeen = now
}

func (s serviceVersions) expire(now time.Time) {
	for version, use := range s {
		if !use.inUse(now) {
			delete(s, version)
		}
	}
}

// inUse returns the versions that are in use, sorted.
func (s serviceVersions) inUse(now time.Time) []string {
	var list []string
	for version, use := range s {
		if use.inUse(now) {
			list = append(list, version)
		}
	}
	slices.Sort(list)
	return list
}

// mixed reports whether several versions are in use.
func (s serviceVersions) mixed(now time.Time) bool { return len(s) > 1 && len(s.inUse(now)) > 1 }

// replaceState stores the state of an upstream, or removes it if next is nil, and counts its software version. The
// caller holds the lock.
func (d *Directory) replaceState(id string, next *State) {
	old := d.states[id]
	if next != nil {
		d.states[id] = next
		d.versions.add(next.Service, next.SoftwareVersion, 1)
	} else {
		delete(d.states, id)
	}
	if old != nil {
		d.versions.add(old.Service, old.SoftwareVersion, -1)
	}
}

// MixedVersions reports whether streams of several software versions of a service may go on.
func (d *Directory) MixedVersions(service string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.versions[service].mixed(time.Now())
}

// VersionsInUse returns the software versions of a service of which streams may go on, sorted.
func (d *Directory) VersionsInUse(service string) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.versions[service].inUse(time.Now())
}

// ServingVersions returns the software versions of the upstreams that are listed for a service, sorted.
func (d *Directory) ServingVersions(service string) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var list []string
	for version, use := range d.versions[service] {
		if use.upstreams > 0 {
			list = append(list, version)
		}
	}
	slices.Sort(list)
	return list
}

// MixedServices returns the services with several software versions in use, sorted.
func (d *Directory) MixedServices() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var list []string
	for service, versions := range d.versions {
		if versions.mixed(time.Now()) {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}

// RecordVersion records that another box knows of a software version of a service.
func (d *Directory) RecordVersion(service, version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions.add(service, version, 0)
}

// learnedTogether is the time within which a box learns of the versions in use when it starts: by records, by notes and by
// its first list.
const learnedTogether = time.Second

// SoleVersionBefore returns the only software version of a service that this box knew for longer than since, if it
// learned of each other version in use after that, and later by learnedTogether at least. known is false if there is no
// such version.
func (d *Directory) SoleVersionBefore(service string, since time.Duration) (version string, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	now := time.Now()
	var firstSeen time.Time
	for name, use := range d.versions[service] {
		if !use.inUse(now) || now.Sub(use.firstSeen) < since {
			continue
		}
		if known {
			return "", false
		}
		version, known, firstSeen = name, true, use.firstSeen
	}
	for name, use := range d.versions[service] {
		if name != version && use.inUse(now) && use.firstSeen.Sub(firstSeen) < learnedTogether {
			return "", false
		}
	}
	return version, known
}
