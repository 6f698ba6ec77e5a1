package bundle

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// Kinds of refusal. Each message names what to do next.
const (
	// ErrVersionUsed: another text was signed off under this version.
	ErrVersionUsed = errors.ConstError("version already signed off with another text: raise the version")
	// ErrNotSignedOff: no such version was signed off.
	ErrNotSignedOff = errors.ConstError("version not signed off: run bundle sign-off first")
	// ErrOlder: the version is not above the one in force.
	ErrOlder = errors.ConstError("version not above the one in force: sign off the content as a higher version")
	// ErrNotInForce: the version to retire is not the one in force.
	ErrNotInForce = errors.ConstError("version not in force: see bundle list")
	// ErrTokenUsed: a caller's token stands in another bundle in force.
	ErrTokenUsed = errors.ConstError("a caller's token is in use already: make a new random token")
)

// Places in the key-value service.
const (
	TableKey = "fleet/inforce"
	textKeys = "bundles/"
)

// Table says which version of each customer is in force.
type Table struct {
	Customers map[string]Entry `json:"customers"`
}

// Entry is one customer's line in the table.
type Entry struct {
	Version uint64 `json:"version"`
	// Retired tells that the version was in force last but serves nothing now.
	Retired bool      `json:"retired,omitempty"`
	Since   time.Time `json:"since"`
}

// Text is a signed-off bundle as it is stored.
type Text struct {
	YAML     string    `json:"yaml"`
	Digest   string    `json:"digest"`
	SignedAt time.Time `json:"signedAt"`
}

// Summary is one bundle version in a listing.
type Summary struct {
	Customer string
	Version  uint64
	// State is one of the State constants.
	State  string
	Digest string
}

// States of a signed-off version.
const (
	StateSignedOff = "signed off"
	StateInForce   = "in force"
	StateRetired   = "retired"
)

// Registry signs off, rolls and retires bundles. It is safe for concurrent use.
type Registry struct {
	Store kv.Store
	// Fits returns an error with the figures if the bundles of next can't all be kept resident while
	// those of current give way to them; nil accepts all.
	Fits func(current, next []*Bundle) error
	// AnswerTime bounds one change when its context has no deadline; 0 takes 10 s.
	AnswerTime time.Duration

	mu    sync.Mutex
	texts map[string]*Bundle
}

const defaultAnswerTime = 10 * time.Second

// TextKey is the place of a signed-off bundle.
func TextKey(customer string, version uint64) string {
	return fmt.Sprintf("%s%s/%d", textKeys, customer, version)
}

// SignOff stores a checked text for good. Doing it again with the same text is no error.
func (r *Registry) SignOff(ctx context.Context, b *Bundle, text []byte) (string, error) {
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	digest := Digest(text)
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
		// The key is written once, so what stands there now settles the matter.
		stored, readErr := r.text(ctx, b.Customer, b.Version)
		switch {
		case readErr == nil && stored.Digest == digest:
			return digest, nil
		case readErr == nil:
			return "", errors.Annotatef(ErrVersionUsed, "%s version %d", b.Customer, b.Version)
		case !errors.Is(readErr, ErrNotSignedOff):
			return "", fmt.Errorf("%w: %w", err, kv.ErrUnknown)
		}
	}
}

// Roll puts a signed-off version in force and returns the table's new generation.
func (r *Registry) Roll(ctx context.Context, customer string, version uint64) (int64, error) {
	ctx, cancel := r.bounded(ctx)
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

// Retire takes the version in force out of service.
func (r *Registry) Retire(ctx context.Context, customer string, version uint64) (int64, error) {
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	table, err := kv.UpdateDocument(ctx, r.Store, TableKey, func(table Table) (Table, error) {
		old, ok := table.Customers[customer]
		if !ok || old.Retired || old.Version != version {
			return table, errors.Annotatef(ErrNotInForce, "%s: retire %d, in force %d", customer, version, old.Version)
		}
		old.Retired, old.Since = true, time.Now().UTC()
		return table.with(customer, old), nil
	})
	return table.Revision, err
}

// List returns a customer's signed-off versions, oldest first.
func (r *Registry) List(ctx context.Context, customer string) ([]Summary, error) {
	table, err := kv.ReadDocument[Table](ctx, r.Store, TableKey)
	if err != nil {
		return nil, err
	}
	records, err := r.Store.List(ctx, textKeys+customer+"/")
	if err != nil {
		return nil, err
	}
	var list []Summary
	for _, record := range records {
		version, err := versionOf(record.Key)
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

// Load returns a signed-off version; versions never change, so they are read once.
func (r *Registry) Load(ctx context.Context, customer string, version uint64) (*Bundle, error) {
	key := TextKey(customer, version)
	r.mu.Lock()
	b := r.texts[key]
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
	if r.texts == nil {
		r.texts = map[string]*Bundle{}
	}
	r.texts[key] = b
	return b, nil
}

// DecodeText decodes the value stored under a TextKey.
func DecodeText(key string, value []byte) (*Bundle, error) {
	var text Text
	if err := json.Unmarshal(value, &text); err != nil {
		return nil, errors.Annotatef(err, "decoding %s", key)
	}
	return Parse(key, []byte(text.YAML))
}

// withVersion returns table with next in force, if all fits.
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
	entry := Entry{Version: next.Version, Since: time.Now().UTC()}
	return table.with(next.Customer, entry), nil
}

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

func (r *Registry) text(ctx context.Context, customer string, version uint64) (Text, error) {
	var text Text
	record, err := r.Store.Get(ctx, TextKey(customer, version))
	if errors.Is(err, kv.ErrNotFound) {
		return text, errors.Annotatef(ErrNotSignedOff, "%s version %d", customer, version)
	}
	if err != nil {
		return text, err
	}
	err = json.Unmarshal(record.Value, &text)
	return text, errors.Annotatef(err, "decoding %s", record.Key)
}

func (r *Registry) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	limit := r.AnswerTime
	if limit == 0 {
		limit = defaultAnswerTime
	}
	return context.WithTimeout(ctx, limit)
}

// Serving lists the customers with a version in force, in order.
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

func (t Table) with(customer string, entry Entry) Table {
	next := Table{Customers: make(map[string]Entry, len(t.Customers)+1)}
	for name, old := range t.Customers {
		next.Customers[name] = old
	}
	next.Customers[customer] = entry
	return next
}

func (e Entry) state(version uint64) string {
	switch {
	case version != e.Version:
		return StateSignedOff
	case e.Retired:
		return StateRetired
	default:
		return StateInForce
	}
}

// checkTokens keeps one token from naming two customers.
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

func versionOf(key string) (uint64, error) {
	version, err := strconv.ParseUint(key[lastSlash(key)+1:], 10, 64)
	return version, errors.Annotatef(err, "key %s", key)
}
