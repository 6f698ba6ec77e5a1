package bundle

import (
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
)

// TableKey is the key of the table of versions in force in the key-value service.
const TableKey = "fleet/inforce"

// States of a signed-off version.
const (
	StateSignedOff = "signed off"
	StateInForce   = "in force"
	StateRetired   = "retired"
)

// Table holds each customer's version in force, or last in force.
type Table struct {
	Customers map[string]TableEntry `json:"customers"`
}

// TableEntry is one customer's entry in the table.
type TableEntry struct {
	Version uint64 `json:"version"`
	// Retired is set if the version was the last in force and serves nothing now.
	Retired bool      `json:"retired,omitempty"`
	Since   time.Time `json:"since"`
}

// Serving returns the names of the customers with a version in force, sorted.
func (t Table) Serving() []string {
	var customers []string
	for customer, entry := range t.Customers {
		if !entry.Retired {
			customers = append(customers, customer)
		}
	}
	sort.Strings(customers)
	return customers
}

// withEntry returns a copy of the table in which a customer has another entry; t is not changed.
func (t Table) withEntry(customer string, entry TableEntry) Table {
	next := Table{Customers: make(map[string]TableEntry, len(t.Customers)+1)}
	for name, old := range t.Customers {
		next.Customers[name] = old
	}
	next.Customers[customer] = entry
	return next
}

// state returns the State constant for one of the customer's signed-off versions.
func (e TableEntry) state(version uint64) string {
	switch {
	case version != e.Version:
		return StateSignedOff
	case e.Retired:
		return StateRetired
	default:
		return StateInForce
	}
}

// checkTokens returns ErrTokenUsed if a token of next belongs to another customer already.
func checkTokens(others []*Bundle, next *Bundle) error {
	used := map[string]bool{}
	for _, other := range others {
		for _, caller := range other.Callers {
			used[strings.ToLower(caller.TokenSHA256)] = true
		}
	}
	for _, caller := range next.Callers {
		if used[strings.ToLower(caller.TokenSHA256)] {
			return errors.Annotatef(ErrTokenUsed, "caller %s", caller.Name)
		}
	}
	return nil
}
