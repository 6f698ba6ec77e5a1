package fleet

import (
	"net/netip"

	"github.com/juju/errors"
)

// Reasons why an entry of the list describes no usable upstream. Not only upstreams write entries.
const (
	ErrUnreadableEntry = errors.ConstError("unreadable")
	ErrUnnamedEntry    = errors.ConstError("no name")
	ErrNoService       = errors.ConstError("no service")
	ErrNoHall          = errors.ConstError("no hall")
	ErrBadAddress      = errors.ConstError("no address to connect to")
	ErrUnknownState    = errors.ConstError("unknown state")
)

// entryErrors lists all of the errors above.
var entryErrors = []error{ErrUnreadableEntry, ErrUnnamedEntry, ErrNoService, ErrNoHall, ErrBadAddress, ErrUnknownState}

// EntryReason returns the reason why an entry is unusable: the text of the entry error in err, or that
// of ErrUnreadableEntry if there is none.
func EntryReason(err error) string {
	for _, kind := range entryErrors {
		if errors.Is(err, kind) {
			return kind.Error()
		}
	}
	return ErrUnreadableEntry.Error()
}

// CheckEntry returns the reason why an entry describes no usable upstream, or nil if it describes one.
// A request sent to the address of an unusable entry would reach no upstream, or one of another service.
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
