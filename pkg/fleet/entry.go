package fleet

import (
	"net/netip"

	"github.com/juju/errors"
)

// Why an entry of the list names no upstream to use. Others than upstreams write entries, too.
const (
	ErrUnreadableEntry = errors.ConstError("unreadable")
	ErrUnnamedEntry    = errors.ConstError("no name")
	ErrNoService       = errors.ConstError("no service")
	ErrNoHall          = errors.ConstError("no hall")
	ErrBadAddress      = errors.ConstError("no address to connect to")
	ErrUnknownState    = errors.ConstError("unknown state")
)

// entryErrors are all of them.
var entryErrors = []error{ErrUnreadableEntry, ErrUnnamedEntry, ErrNoService, ErrNoHall, ErrBadAddress, ErrUnknownState}

// EntryReason is why an entry names no upstream to use, by its error.
func EntryReason(err error) string {
	for _, kind := range entryErrors {
		if errors.Is(err, kind) {
			return kind.Error()
		}
	}
	return ErrUnreadableEntry.Error()
}

// CheckEntry returns why an entry names no upstream to use; nil if it names one. A request sent by one that does not reach an
// upstream, or one of another service.
func CheckEntry(entry *Upstream) error {
	switch {
	case NameOf(entry.ID) == "":
		return ErrUnnamedEntry
	case entry.Service == "":
		return ErrNoService
	case entry.Hall == "":
		return ErrNoHall
	}
	address, err := netip.ParseAddrPort(entry.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return ErrBadAddress
	}
	return nil
}
