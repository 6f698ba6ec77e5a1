package bundle

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// Errors of the Registry. Each message says what to do next.
const (
	// ErrVersionUsed means that another text was signed off under this version.
	ErrVersionUsed = errors.ConstError("version already signed off with another text: raise the version")
	// ErrNotSignedOff means that no such version was signed off.
	ErrNotSignedOff = errors.ConstError("version not signed off: run bundle sign-off first")
	// ErrOlder means that the version is not above the one in force or, if that was retired, the one
	// last in force.
	ErrOlder = errors.ConstError("version not above the one in force: sign off the content as a higher version")
	// ErrNotInForce means that the version to retire is not the one in force.
	ErrNotInForce = errors.ConstError("version not in force: see bundle list")
	// ErrTokenUsed means that another customer's bundle in force has a caller with the same token.
	ErrTokenUsed = errors.ConstError("a caller's token is in use already: make a new random token")
)

// Summary is one bundle version in a listing.
type Summary struct {
	Customer string
	Version  uint64
	// State is one of the State constants.
	State  string
	Digest string
}

// Registry signs off, rolls and retires bundles. It is safe for concurrent use.
type Registry struct {
	Store kv.Store
	// Fits returns an error with the figures if the bundles of next can't all be kept resident while
	// those of current are still resident. Optional, for embedders: nil accepts all.
	Fits func(current, next []*Bundle) error

	mu sync.Mutex
	// bundles caches the parsed versions by TextKey; a signed-off version never changes.
	bundles map[string]*Bundle
}

// changeTimeout bounds one SignOff, Roll or Retire if its context has no deadline: 10 s.
const changeTimeout = 10 * time.Second

// SignOff stores a checked text permanently and returns its digest. Signing off the same text again
// succeeds; another text under the same version is ErrVersionUsed. After kv.ErrUnknown the text may
// or may not be stored.
//
// Retry: an attempt whose outcome is unknown is repeated immediately if the key is still free. Each
// attempt costs a write and a read of the store, and the deadline of ctx ends the attempts.
func (r *Registry) SignOff(ctx context.Context, b *Bundle, text []byte) (string, error) {
	ctx, cancel := r.withDeadline(ctx)
	defer cancel()
	digest := textDigest(text)
	value, err := json.Marshal(Text{YAML: string(text), Digest: digest, SignedAt: time.Now().UTC()})
	if err != nil {
		return "", errors.Trace(err)
	}
	swap := kv.Swap{Key: TextKey(b.Customer, b.Version), Value: value}
	for {
		_, err := r.Store.Swap(ctx, swap)
		if err == nil {
			return digest, nil
		}
		if !errors.Is(err, kv.ErrUnknown) && !errors.Is(err, kv.ErrConflict) {
			return "", err
		}
		// The key is written only once, so its current value shows the outcome.
		stored, readErr := r.text(ctx, b.Customer, b.Version)
		switch {
		case readErr == nil && stored.Digest == digest:
			return digest, nil
		case readErr == nil:
			return "", errors.Annotatef(ErrVersionUsed, "%s version %d", b.Customer, b.Version)
		case !errors.Is(readErr, ErrNotSignedOff):
			// The key can't be read back either: report the cause of the failed write.
			return "", fmt.Errorf("%w: %w", err, kv.ErrUnknown)
		}
	}
}

// Roll puts a signed-off version in force and returns the table's new generation.
//
// The version must be above the one in force or last in force; none of its tokens may be in use by
// another customer; and Fits must accept the bundles that will then be in force. All three are checked
// inside the compare-and-swap of the table, so that of two rolls that fit only one at a time, one
// fails. The errors are ErrNotSignedOff, ErrOlder, ErrTokenUsed, those of Fits and those of the store.
func (r *Registry) Roll(ctx context.Context, customer string, version uint64) (int64, error) {
	ctx, cancel := r.withDeadline(ctx)
	defer cancel()
	next, err := r.Load(ctx, customer, version)
	if err != nil {
		return 0, err
	}
	table, err := kv.UpdateDocument(ctx, r.Store, TableKey, func(table Table) (Table, error) {
		old := table.Customers[customer]
		if version <= old.Version {
			return table, errors.Annotatef(ErrOlder, "%s: roll %d, in force %d", customer, version, old.Version)
		}
		return r.withVersion(ctx, table, next)
	})
	return table.Revision, err
}

// Retire takes the version in force out of service and returns the table's new generation. The
// error is ErrNotInForce for any other version, or one of the store.
func (r *Registry) Retire(ctx context.Context, customer string, version uint64) (int64, error) {
	ctx, cancel := r.withDeadline(ctx)
	defer cancel()
	table, err := kv.UpdateDocument(ctx, r.Store, TableKey, func(table Table) (Table, error) {
		old, ok := table.Customers[customer]
		if !ok || old.Retired || old.Version != version {
			return table, errors.Annotatef(ErrNotInForce, "%s: retire %d, in force %d", customer, version, old.Version)
		}
		old.Retired, old.Since = true, time.Now().UTC()
		return table.withEntry(customer, old), nil
	})
	return table.Revision, err
}

// List returns a customer's signed-off versions, oldest first.
func (r *Registry) List(ctx context.Context, customer string) ([]Summary, error) {
	table, err := kv.ReadDocument[Table](ctx, r.Store, TableKey)
	if err != nil {
		return nil, err
	}
	records, err := r.Store.List(ctx, textKeyPrefix+customer+"/")
	if err != nil {
		return nil, err
	}
	var list []Summary
	for _, record := range records {
		version, err := versionFromKey(record.Key)
		if err != nil {
			return nil, err
		}
		var text Text
		if err := json.Unmarshal(record.Value, &text); err != nil {
			return nil, errors.Annotatef(err, "decoding %s", record.Key)
		}
		state := table.Body.Customers[customer].state(version)
		list = append(list, Summary{Customer: customer, Version: version, State: state, Digest: text.Digest})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
	return list, nil
}

// Load returns a signed-off version, or ErrNotSignedOff. Signed-off versions never change, so each is
// read only once and cached.
func (r *Registry) Load(ctx context.Context, customer string, version uint64) (*Bundle, error) {
	key := TextKey(customer, version)
	r.mu.Lock()
	b := r.bundles[key]
	r.mu.Unlock()
	if b != nil {
		return b, nil
	}
	text, err := r.text(ctx, customer, version)
	if err != nil {
		return nil, err
	}
	b, err = Parse(key, []byte(text.YAML))
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bundles == nil {
		r.bundles = map[string]*Bundle{}
	}
	r.bundles[key] = b
	return b, nil
}

// withVersion returns table with next in force, or an error if one of its tokens is in use by another
// customer or Fits rejects it.
func (r *Registry) withVersion(ctx context.Context, table Table, next *Bundle) (Table, error) {
	current, err := r.inForce(ctx, table)
	if err != nil {
		return table, err
	}
	others := slices.DeleteFunc(slices.Clone(current), func(b *Bundle) bool { return b.Customer == next.Customer })
	if err := checkTokens(others, next); err != nil {
		return table, err
	}
	if r.Fits != nil {
		if err := r.Fits(current, append(others, next)); err != nil {
			return table, err
		}
	}
	entry := TableEntry{Version: next.Version, Since: time.Now().UTC()}
	return table.withEntry(next.Customer, entry), nil
}

// inForce loads the bundles that a table has in force.
func (r *Registry) inForce(ctx context.Context, table Table) ([]*Bundle, error) {
	var bundles []*Bundle
	for _, customer := range table.Serving() {
		b, err := r.Load(ctx, customer, table.Customers[customer].Version)
		if err != nil {
			return nil, err
		}
		bundles = append(bundles, b)
	}
	return bundles, nil
}

// withDeadline returns ctx, with a deadline after changeTimeout if it has none.
func (r *Registry) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, changeTimeout)
}
