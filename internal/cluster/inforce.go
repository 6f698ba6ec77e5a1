package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// The configuration in force at some boxes may be newer than any in the store, after the store came back from a copy.
// Such a box says so in each exchange, and another one whose configuration is older fetches it. The store's next
// version that is as new ends this.

// HeldConfig is a configuration in force that the store does not have any more.
type HeldConfig struct {
	Version int64
	// Records are the store's records that it was decoded from, by key.
	Records map[string]kv.Record
}

// maxVersionLead is how far a version that another box names may be above this box's. It is 18 minutes of versions that
// are times in nanoseconds, while the store comes back from a copy that is some seconds old. A box that took an
// arbitrary version would ignore the operator's ever after.
const maxVersionLead = 1 << 40

// heldConfigClaim states which configuration the sender holds that the store does not have, and the blob to fetch.
type heldConfigClaim struct {
	Version int64  `json:"version"`
	Blob    blobID `json:"blob"`
	// unreadable is the start of a claim that could not be read; empty for one that could.
	unreadable string
}

// maxUnreadableClaim bounds what is logged of a claim that could not be read, in bytes.
const maxUnreadableClaim = 40

// UnmarshalJSON reads a claim. It never fails, so that an unreadable claim loses nothing else of its message.
func (c *heldConfigClaim) UnmarshalJSON(text []byte) error {
	type readable heldConfigClaim
	var read readable
	if err := json.Unmarshal(text, &read); err != nil || read.Version <= 0 || !read.Blob.heldConfig() {
		*c = heldConfigClaim{unreadable: string(text[:min(len(text), maxUnreadableClaim)])}
		return nil
	}
	*c = heldConfigClaim(read)
	return nil
}

// heldConfigPrefix starts the id of a held configuration. Its version and a digest of its text follow.
const heldConfigPrefix = "inforce/"

func (id blobID) heldConfig() bool { return strings.HasPrefix(string(id), heldConfigPrefix) }

// blob returns the id of the configuration's records.
func (c *HeldConfig) blob() blobID {
	digest := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(c.Records)) {
		_, _ = digest.Write(c.Records[key].Value) // It never fails.
	}
	return blobID(fmt.Sprintf("%s%d/%x", heldConfigPrefix, c.Version, digest.Sum64()))
}

// heldClaim returns what this box tells others of the configuration that it holds; nil if the store has it.
func (e *Exchange) heldClaim() *heldConfigClaim {
	held := e.heldConfig()
	if held == nil {
		return nil
	}
	return &heldConfigClaim{Version: held.Version, Blob: held.blob()}
}

func (e *Exchange) heldConfig() *HeldConfig {
	if e.HeldConfig == nil {
		return nil
	}
	return e.HeldConfig()
}

// packHeldConfig packs the held configuration if it is requested and not packed yet.
func (e *Exchange) packHeldConfig(requested blobID) error {
	if !requested.heldConfig() || e.sender.blobs.has(requested) {
		return nil
	}
	held := e.heldConfig()
	if held == nil || held.blob() != requested {
		return nil
	}
	text, err := json.Marshal(held.Records)
	if err != nil {
		return errors.Trace(err)
	}
	packed, err := pack(text)
	if err != nil {
		return err
	}
	e.sender.blobs.put(blob{id: requested, packed: packed})
	return nil
}

// applyHeldClaim starts a fetch of the configuration that another box holds, if it is newer than this box's.
func (e *Exchange) applyHeldClaim(ctx context.Context, received message) {
	claim := received.HeldConfig
	if claim == nil || e.PutInForce == nil {
		return
	}
	own := e.VersionInForce()
	if claim.unreadable != "" || (own != 0 && claim.Version-maxVersionLead > own) {
		e.logBadClaim(received.From.Name, claim)
		return
	}
	if own == 0 || claim.Version <= own {
		return // Without a configuration of its own, this box is about to get one from the store or another box.
	}
	go e.runExclusive(ctx, &e.fetchingConfig, received.From.Address, func(ctx context.Context, address string) error {
		return e.fetchHeldConfig(ctx, address, *claim)
	})
}

// fetchHeldConfig fetches the configuration that another box holds, and puts it in force.
func (e *Exchange) fetchHeldConfig(ctx context.Context, address string, claim heldConfigClaim) error {
	text, err := e.fetchBlob(ctx, address, claim.Blob)
	if err != nil {
		return err
	}
	var records map[string]kv.Record
	if err := json.Unmarshal(text, &records); err != nil {
		return errors.WithType(err, errBadBlob)
	}
	return e.PutInForce(HeldConfig{Version: claim.Version, Records: records})
}

// logBadClaim logs the first claim of a box that cannot be right.
func (e *Exchange) logBadClaim(from string, claim *heldConfigClaim) {
	if _, logged := e.badClaims.LoadOrStore(from, true); logged {
		return
	}
	e.Log.Warn("configuration that another box holds is not taken: its version cannot be right",
		zap.String("peer", from), zap.Int64("version", claim.Version), zap.Int64("own", e.VersionInForce()), zap.String("unreadable", claim.unreadable))
}

// AwaitsHeldConfig reports whether a box that first had a configuration at configuredAt, if it has one yet, still
// asks others whether they hold a newer one. It does so only if the store came back from a copy at some time, and no
// longer than one call of another box takes.
func (e *Exchange) AwaitsHeldConfig(epoch int64, configuredAt time.Time) bool {
	switch {
	case epoch <= firstStoreEpoch:
		return false
	case configuredAt.IsZero():
		return true
	case time.Since(configuredAt) >= CallTimeout:
		return false
	}
	return e.fetchingConfig.Load() || !e.Members.asked(configuredAt, time.Now())
}

// firstStoreEpoch is the epoch of a store that never came back from a copy.
const firstStoreEpoch = 1
