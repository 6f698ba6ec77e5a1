// Package claims makes sure that a request which may not be repeated is sent to an upstream at most once.
//
// Before such a request is sent, its key is claimed by compare-and-swap in the key-value store, together with the
// upstream that was chosen. A request whose key is claimed is never sent again. Claims are kept for a window of time
// at least. A key carries its time (UUIDv7), and a key from before the window is refused, so that a deleted claim
// never leads to a second run. The package owns the claims and deletes old ones; it relies on pkg/kv.
//
// `ospreymoor serve`, the native mode, uses it. For `ospreymoor node` the users' platform has no claims:
// internal/gateway sends such a request once and repeats it only if it was certainly not run.
package claims

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// Errors of Claim. None of them permits the caller to send the request. After each but ErrNotClaimed, the call did
// not claim the key.
const (
	// ErrBadKey reports that the key is not a UUIDv7.
	ErrBadKey = errors.ConstError("request key is no UUIDv7: make a new one and keep it across retries")
	// ErrTooOld reports that the key's time is before the window: whether its request ran is no longer known.
	ErrTooOld = errors.ConstError("request key is older than keys are remembered: find out what became of it, then use a new key")
	// ErrTooNew reports that the key's time is more than maxSkew in the future.
	ErrTooNew = errors.ConstError("request key is from the future: set the caller's clock")
	// ErrOtherRequest reports that the key was used for a request with another digest.
	ErrOtherRequest = errors.ConstError("request key was used for another request: use a new key for each request")
	// ErrFull reports that the document for the key, one of those of the key's minute, has no room.
	ErrFull = errors.ConstError("too many requests of this moment: use a new key a minute later")
	// ErrNotClaimed reports that the key-value store did not confirm the claim in time.
	ErrNotClaimed = errors.ConstError("request could not be claimed: come back with the same key")
)

// Claim records where a request was sent.
type Claim struct {
	// Digest is that of the request. The same key with another digest is refused.
	Digest string `json:"d"`
	// Upstream is the one that the request is sent to.
	Upstream string `json:"u"`
	// RequestID is the request's ID at the upstream.
	RequestID string `json:"r"`
	// Incarnation is that of the upstream when the claim was made; empty for plain services.
	Incarnation string `json:"i,omitempty"`
	// Box is the peer address of the box that sends it.
	Box string `json:"b"`
}

// Config defines where and for how long claims are kept.
type Config struct {
	Store kv.Store
	// Window is how long after its time a key is accepted. Its claim is kept at least as long. 0 means an hour.
	Window time.Duration
}

const (
	// defaultWindow is used if Config.Window is 0.
	defaultWindow = time.Hour
	// maxSkew is how far a caller's clock may be ahead.
	maxSkew = time.Minute
	// callTimeout limits one call of Claim, Lookup or Release, and one write of a batch of claims.
	callTimeout = 2 * time.Second
)

// Claims claims keys in the store. Claims that arrive for one document while it is being written share the next
// write.
type Claims struct {
	config Config

	mu     sync.Mutex
	queues map[string]*queue
}

// New returns a Claims that keeps its claims in config.Store.
func New(config Config) *Claims {
	if config.Window == 0 {
		config.Window = defaultWindow
	}
	return &Claims{config: config, queues: map[string]*queue{}}
}

// Claim claims a customer's key and returns the claim in force. The caller may send the request if and only if that
// claim has the RequestID that the caller passed. After an error the caller may not send it. After ErrNotClaimed it
// is unknown whether the caller's claim is in force.
func (c *Claims) Claim(ctx context.Context, customer, key string, claim Claim) (Claim, error) {
	bucket, err := c.checkedBucket(key)
	if err != nil {
		return Claim{}, err
	}
	name := customer + "/" + key
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p := &pending{name: name, claim: claim, done: make(chan result, 1)}
	c.enqueue(bucket, documentKey(bucket, name), p)
	select {
	case r := <-p.done:
		return c.checkResult(ctx, r, claim)
	case <-ctx.Done():
		return Claim{}, fmt.Errorf("%w: %w", errors.Annotatef(ctx.Err(), "claiming %s", key), ErrNotClaimed)
	}
}

// Lookup returns the claim of a customer's key, and false if there is none. After ErrBadKey, ErrTooOld, ErrTooNew or
// an error of the store it is unknown whether there is one.
func (c *Claims) Lookup(ctx context.Context, customer, key string) (Claim, bool, error) {
	bucket, err := c.checkedBucket(key)
	if err != nil {
		return Claim{}, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	name := customer + "/" + key
	document, err := kv.ReadDocument[shard](ctx, c.config.Store, documentKey(bucket, name))
	if err != nil {
		return Claim{}, false, err
	}
	claim, ok := document.Body.Claims[name]
	return claim, ok, nil
}

// Release deletes the claim of a key if it has the given request ID. Call it only if the request certainly was not
// run and can no longer run under that ID. It returns no error if the claim is gone already.
func (c *Claims) Release(ctx context.Context, customer, key, requestID string) error {
	bucket, err := c.checkedBucket(key)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	name := customer + "/" + key
	_, err = kv.UpdateDocument(ctx, c.config.Store, documentKey(bucket, name), func(body shard) (shard, error) {
		if !body.Made || body.Claims[name].RequestID != requestID {
			return body, errors.Annotatef(errNothingToRelease, "releasing %s", key)
		}
		next := shard{Made: true, Claims: maps.Clone(body.Claims)}
		delete(next.Claims, name)
		return next, nil
	})
	if errors.Is(err, errNothingToRelease) {
		return nil
	}
	return err
}

// errNothingToRelease ends the update in Release if the claim is gone already.
const errNothingToRelease = errors.ConstError("claim is gone already")

// checkResult turns the result of a write into the one of Claim. A result that arrives after the deadline, as when
// this process was frozen, is an error: the claim may have been deleted in the meantime.
func (c *Claims) checkResult(ctx context.Context, r result, own Claim) (Claim, error) {
	if r.err != nil {
		return Claim{}, r.err
	}
	if ctx.Err() != nil {
		return Claim{}, fmt.Errorf("%w: %w", ctx.Err(), ErrNotClaimed)
	}
	if r.claim.Digest != own.Digest {
		return Claim{}, errors.Annotate(ErrOtherRequest, "claiming")
	}
	return r.claim, nil
}

// checkedBucket checks the form and age of a key and returns the bucket of its time.
func (c *Claims) checkedBucket(key string) (int64, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, errors.Annotatef(ErrBadKey, "request key %.40q", key)
	}
	at := time.Unix(id.Time().UnixTime())
	age := time.Since(at)
	if age > c.config.Window {
		return 0, errors.Annotatef(ErrTooOld, "request key of %s", at.UTC().Format(time.RFC3339))
	}
	if age < -maxSkew {
		return 0, errors.Annotatef(ErrTooNew, "request key of %s", at.UTC().Format(time.RFC3339))
	}
	return bucketOf(at), nil
}
