package box

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/membership"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// maxTextPeers is how many peers are asked for a bundle's text before the store is read.
const maxTextPeers = 2

// bundlesInForce owns the table of bundles in force that this box serves. Its generation never decreases.
type bundlesInForce struct {
	self    *self
	log     *zap.Logger
	cache   *records.Cache
	store   kv.Store
	view    *membership.View
	fetcher *recordFetcher
	// current is nil until the store or a peer has answered which table is in force.
	current atomic.Pointer[tableInForce]
}

// tableInForce is one generation of the table, with the texts of its bundles.
type tableInForce struct {
	// generation is the revision of the table in the store.
	generation int64
	table      bundle.Table
	bundles    map[string]*bundle.Bundle
	// callers holds the callers by the SHA-256 of their token.
	callers map[[sha256.Size]byte]caller
}

// caller is one of the callers that a bundle names.
type caller struct{ bundle *bundle.Bundle }

// adopt puts the newest table of the cache in force. It fails, and keeps the current table, if the text of one of its
// bundles cannot be had.
func (s *bundlesInForce) adopt(ctx context.Context) error {
	record, ok := s.cache.Get(bundle.TableKey)
	if !ok {
		return nil
	}
	if held := s.current.Load(); held != nil && held.generation >= record.Generation.Term {
		return nil
	}
	table, err := kv.DecodeDocument[bundle.Table](kv.Record{Key: record.Name, Value: record.Value})
	if err != nil {
		return err
	}
	next, err := s.build(ctx, record.Generation.Term, table.Body)
	if err != nil {
		return err
	}
	s.current.Store(next)
	s.log.Info("bundles in force", zap.Int64("generation", next.generation), zap.Int("customers", len(next.bundles)))
	return nil
}

// build returns the table with the texts of its bundles.
func (s *bundlesInForce) build(ctx context.Context, generation int64, table bundle.Table) (*tableInForce, error) {
	next := &tableInForce{
		generation: generation,
		table:      table,
		bundles:    map[string]*bundle.Bundle{},
		callers:    map[[sha256.Size]byte]caller{},
	}
	for _, customer := range table.Serving() {
		text, err := s.text(ctx, customer, table.Customers[customer].Version)
		if err != nil {
			return nil, err
		}
		next.bundles[customer] = text
		for _, c := range text.Callers {
			var sum [sha256.Size]byte
			// Parsing a bundle checks the digest, so decoding it cannot fail.
			if _, err := hex.Decode(sum[:], []byte(strings.ToLower(c.TokenSHA256))); err == nil {
				next.callers[sum] = caller{bundle: text}
			}
		}
	}
	return next, nil
}

// adoptEmptyTable puts an empty table in force if neither the store nor this box has one, so that the box can serve.
func (s *bundlesInForce) adoptEmptyTable() {
	if s.current.Load() == nil && !hasRecord(s.cache, bundle.TableKey) {
		s.current.CompareAndSwap(nil, &tableInForce{})
	}
}

// newest reports whether the table is the newest that this box knows of.
func (s *bundlesInForce) newest(table *tableInForce) bool {
	record, ok := s.cache.Get(bundle.TableKey)
	return !ok || table.generation >= record.Generation.Term
}

// text returns a signed-off bundle version from the table in force, the cache, a peer or the store, in this order.
func (s *bundlesInForce) text(ctx context.Context, customer string, version uint64) (*bundle.Bundle, error) {
	if held := s.current.Load(); held != nil {
		if text := held.bundles[customer]; text != nil && text.Version == version {
			return text, nil
		}
	}
	key := bundle.TextKey(customer, version)
	s.fetchText(ctx, key)
	if record, ok := s.cache.Get(key); ok {
		return bundle.DecodeText(key, record.Value)
	}
	record, err := s.store.Get(ctx, key)
	if err != nil {
		return nil, errors.Annotatef(err, "reading %s", key)
	}
	s.cache.Put(records.Record{Name: key, Generation: records.Generation{Term: 1}, Value: record.Value})
	return bundle.DecodeText(key, record.Value)
}

// fetchText asks up to maxTextPeers peers for a bundle's text. Peers of the same hall come first: they are near, and
// they can be reached when the hall is cut off from the others.
func (s *bundlesInForce) fetchText(ctx context.Context, key string) {
	peers := s.view.Live()
	slices.SortStableFunc(peers, func(p, q membership.Peer) int {
		return boolToInt(q.Hall == s.self.hall) - boolToInt(p.Hall == s.self.hall)
	})
	for _, p := range peers[:min(maxTextPeers, len(peers))] {
		if hasRecord(s.cache, key) {
			return
		}
		s.fetcher.fetch(ctx, p.Address, []string{key})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// authenticate returns the caller whose token the request carries. A refusal reveals nothing about other customers.
func (s *bundlesInForce) authenticate(header http.Header) (caller, *refusal) {
	table := s.current.Load()
	if table == nil {
		return caller{}, notRun(connect.CodeUnavailable, reasonStarting, "the box is starting", defaultRetryAfter)
	}
	token, ok := bearerToken(header)
	if !ok {
		return caller{}, notRun(connect.CodeUnauthenticated, reasonToken, remedyToken, 0)
	}
	who, ok := table.callers[sha256.Sum256([]byte(token))]
	if !ok {
		return caller{}, notRun(connect.CodeUnauthenticated, reasonToken, "no bundle in force names this token", 0)
	}
	return who, nil
}

// bearerToken returns the token of a request's Authorization header.
func bearerToken(header http.Header) (string, bool) {
	return strings.CutPrefix(header.Get("Authorization"), "Bearer ")
}
