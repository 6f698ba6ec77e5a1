// Package claims makes sure that a request which may not be repeated is sent to an upstream at
// most once.
//
// Before such a request is sent, its key is claimed by compare-and-swap in the key-value service,
// with the upstream chosen. A claimed key is never sent again. Keys are remembered for a window; a
// key carries its time (UUIDv7), and one from before the window is refused, so that a forgotten
// claim never means a second run. The package owns the claims and their sweep; it relies on pkg/kv.
//
// It belongs to the native way, `ospreymoor serve`. On `ospreymoor node` the users' platform has no
// claims: internal/gateway sends such a request once and repeats it only if it was surely not run.
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

// Kinds of refusal. After each of them the request was not claimed by this call.
const (
	// ErrBadKey means that the key is no UUIDv7.
	ErrBadKey = errors.ConstError("request key is no UUIDv7: make a new one and keep it across retries")
	// ErrTooOld means that the key's time is before the window: whether it ran is no longer known.
	ErrTooOld = errors.ConstError("request key is older than keys are remembered: find out what became of it, then use a new key")
	// ErrTooNew means that the key's time is in the future by more than maxSkew.
	ErrTooNew = errors.ConstError("request key is from the future: set the caller's clock")
	// ErrOtherRequest means that the key was used for a request with another digest.
	ErrOtherRequest = errors.ConstError("request key was used for another request: use a new key for each request")
	// ErrFull means that the document of the key's minute has no room.
	ErrFull = errors.ConstError("too many requests of this moment: use a new key a minute later")
	// ErrNotClaimed means that the key-value service did not confirm the claim in time.
	ErrNotClaimed = errors.ConstError("request could not be claimed: come back with the same key")
)

// Claim records where a request was sent.
type Claim struct {
	// Digest of the request; the same key with another digest is refused.
	Digest string `json:"d"`
	// Upstream that the request goes to.
	Upstream string `json:"u"`
	// RequestID is its id at the upstream.
	RequestID string `json:"r"`
	// Incarnation of the upstream as it was known then; empty for plain services.
	Incarnation string `json:"i,omitempty"`
	// Box is the peer address of the box that sends it.
	Box string `json:"b"`
}

// Config sets where and how long claims are kept.
type Config struct {
	Store kv.Store
	// Window is the time for which a key is remembered; 0 takes an hour.
	Window time.Duration
}

const (
	// defaultWindow is Config.Window if it is 0: 1 h.
	defaultWindow = time.Hour
	// maxSkew is the time that a caller's clock may be ahead: 1 min.
	maxSkew = time.Minute
	// callTimeout bounds one call of Claim, Lookup or Release: 2 s.
	callTimeout = 2 * time.Second
)

// Claims claims keys; claims of one document that come together share a write.
type Claims struct {
	config Config

	mu     sync.Mutex
	queues map[string]*queue
}

// New returns the claims that are kept in config.Store.
func New(config Config) *Claims {
	if config.Window == 0 {
		config.Window = defaultWindow
	}
	return &Claims{config: config, queues: map[string]*queue{}}
}

// Claim claims a customer's key. It returns the claim in force: the caller may send the
// request if and only if the claim's RequestID is its own. After an error the caller may not send
// it; ErrNotClaimed leaves open whether the claim is in force.
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
		return c.standing(ctx, r, claim)
	case <-ctx.Done():
		return Claim{}, fmt.Errorf("%w: %w", errors.Annotatef(ctx.Err(), "claiming %s", key), ErrNotClaimed)
	}
}

// Lookup returns the claim of a customer's key, false if there is none. After ErrBadKey, ErrTooOld,
// ErrTooNew or an error of the store it is open whether there is one.
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

// Release frees a key whose request was certainly not run and can't run any more under its id.
// A claim that is gone already is no error.
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
			return body, errors.Annotatef(errReleased, "releasing %s", key)
		}
		next := shard{Made: true, Claims: maps.Clone(body.Claims)}
		delete(next.Claims, name)
		return next, nil
	})
	if errors.Is(err, errReleased) {
		return nil
	}
	return err
}

// errReleased ends a release that has nothing to do.
const errReleased = errors.ConstError("claim is gone already")

// standing turns the result of a write into the caller's. A result that comes too late, as after
// a freeze of this process, permits nothing: the key may have been forgotten in the meantime.
func (c *Claims) standing(ctx context.Context, r result, own Claim) (Claim, error) {
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

// checkedBucket checks a key's form and age and returns the bucket of its time.
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
