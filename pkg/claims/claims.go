// Package claims makes sure that a request which may not be repeated is handed out once.
//
// Before such a request goes to an upstream, its key is claimed by compare-and-swap in the
// key-value service, with the upstream chosen. A key that is claimed is never handed out
// again. Keys are remembered for a window; a key carries its time (UUIDv7), and one from
// before the window is refused, so that forgetting never means running twice.
package claims

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// Kinds of refusal. After each of them the request was not claimed by this call.
const (
	// ErrBadKey: the key is no UUIDv7.
	ErrBadKey = errors.ConstError("request key is no UUIDv7: make a new one and keep it across retries")
	// ErrTooOld: the key's time is before the window, so whether it ran is not known any more.
	ErrTooOld = errors.ConstError("request key is older than keys are remembered: find out what became of it, then use a new key")
	// ErrTooNew: the key's time is in the future.
	ErrTooNew = errors.ConstError("request key is from the future: set the caller's clock")
	// ErrOtherRequest: the key was used for another request.
	ErrOtherRequest = errors.ConstError("request key was used for another request: use a new key for each request")
	// ErrFull: too many keys of one moment.
	ErrFull = errors.ConstError("too many requests of this moment: use a new key a minute later")
	// ErrNotClaimed: the key-value service did not take the claim in time.
	ErrNotClaimed = errors.ConstError("request could not be claimed: come back with the same key")
)

// Claim says who was handed a request.
type Claim struct {
	// Digest of the request; the same key with another digest is refused.
	Digest string `json:"d"`
	// Upstream that the request goes to.
	Upstream string `json:"u"`
	// RequestID is the id under which the upstream knows it.
	RequestID string `json:"r"`
	// Incarnation of the upstream that was known then; empty for plain services.
	Incarnation string `json:"i,omitempty"`
	// Box is the peer address of the box that hands it out.
	Box string `json:"b"`
}

// Config sets where and how long claims are kept.
type Config struct {
	Store kv.Store
	// Window is how long a key is remembered; 0 takes an hour.
	Window time.Duration
	// Skew is how far a caller's clock may be ahead; 0 takes a minute.
	Skew time.Duration
	// AnswerTime bounds one claim; 0 takes 2 s.
	AnswerTime time.Duration
}

const (
	defaultWindow     = time.Hour
	defaultSkew       = time.Minute
	defaultAnswerTime = 2 * time.Second
	// bucketTime is the span of key times that share documents.
	bucketTime = time.Minute
	// shards is the number of documents of one bucket.
	shards = 4
	// maxShardClaims keeps a document below the largest value.
	maxShardClaims = 4000
)

// Claims claims keys; claims of one document that come together share a write.
type Claims struct {
	config Config

	mu      sync.Mutex
	batches map[string]*batch
}

// shard is the body of one document.
type shard struct {
	// Made tells a stored shard from one that is absent.
	Made   bool             `json:"made"`
	Claims map[string]Claim `json:"claims"`
}

// batch collects claims while an earlier write of the same document is under way.
type batch struct {
	waiting []*pending
	busy    bool
}

// pending is one claim that waits for its write.
type pending struct {
	name  string
	claim Claim
	done  chan result
}

type result struct {
	claim Claim
	err   error
}

// New returns claims that are kept in config.Store.
func New(config Config) *Claims {
	if config.Window == 0 {
		config.Window = defaultWindow
	}
	if config.Skew == 0 {
		config.Skew = defaultSkew
	}
	if config.AnswerTime == 0 {
		config.AnswerTime = defaultAnswerTime
	}
	return &Claims{config: config, batches: map[string]*batch{}}
}

// Claim claims a customer's key. It returns the claim that stands: the caller may hand the
// request out if and only if the claim's RequestID is its own. An error says that the caller
// may not hand it out; ErrNotClaimed leaves open whether the claim stands.
func (c *Claims) Claim(ctx context.Context, customer, key string, claim Claim) (Claim, error) {
	bucket, err := c.bucket(key)
	if err != nil {
		return Claim{}, err
	}
	name := customer + "/" + key
	ctx, cancel := context.WithTimeout(ctx, c.config.AnswerTime)
	defer cancel()
	p := &pending{name: name, claim: claim, done: make(chan result, 1)}
	c.enqueue(bucket, documentKey(bucket, name), p)
	select {
	case r := <-p.done:
		return c.judge(ctx, r, claim)
	case <-ctx.Done():
		return Claim{}, fmt.Errorf("%w: %w", errors.Annotatef(ctx.Err(), "claiming %s", key), ErrNotClaimed)
	}
}

// Lookup returns the claim of a customer's key, false if there is none. An error leaves it open.
func (c *Claims) Lookup(ctx context.Context, customer, key string) (Claim, bool, error) {
	bucket, err := c.bucket(key)
	if err != nil {
		return Claim{}, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.AnswerTime)
	defer cancel()
	name := customer + "/" + key
	document, err := kv.ReadDocument[shard](ctx, c.config.Store, documentKey(bucket, name))
	if err != nil {
		return Claim{}, false, err
	}
	claim, ok := document.Body.Claims[name]
	return claim, ok, nil
}

// Release frees a key whose request was certainly not run and no longer can be under its id.
func (c *Claims) Release(ctx context.Context, customer, key, requestID string) error {
	bucket, err := c.bucket(key)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.AnswerTime)
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

// errReleased stops a release that has nothing to do.
const errReleased = errors.ConstError("claim is gone already")

// judge turns a batch's result into the caller's. A result that came too late, as after a
// pause of this process, gives no right: the key may have been forgotten in the meantime.
func (c *Claims) judge(ctx context.Context, r result, own Claim) (Claim, error) {
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

// bucket checks a key and returns the bucket of its time.
func (c *Claims) bucket(key string) (int64, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, errors.Annotatef(ErrBadKey, "request key %.40q", key)
	}
	at := time.Unix(id.Time().UnixTime())
	age := time.Since(at)
	if age > c.config.Window {
		return 0, errors.Annotatef(ErrTooOld, "request key of %s", at.UTC().Format(time.RFC3339))
	}
	if age < -c.config.Skew {
		return 0, errors.Annotatef(ErrTooNew, "request key of %s", at.UTC().Format(time.RFC3339))
	}
	return bucketOf(at), nil
}

// enqueue adds a claim to its document's batch and starts a writer if none is at work.
func (c *Claims) enqueue(bucket int64, key string, p *pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.batches[key]
	if !ok {
		b = &batch{}
		c.batches[key] = b
	}
	b.waiting = append(b.waiting, p)
	if !b.busy {
		b.busy = true
		go c.write(bucket, key, b)
	}
}

// write commits batch after batch of one document until none waits.
func (c *Claims) write(bucket int64, key string, b *batch) {
	for {
		c.mu.Lock()
		group := b.waiting
		b.waiting = nil
		if len(group) == 0 {
			b.busy = false
			delete(c.batches, key)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.commit(bucket, key, group)
	}
}

// commit writes a group of claims with one swap and tells each what stands.
func (c *Claims) commit(bucket int64, key string, group []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), c.config.AnswerTime)
	defer cancel()
	document, err := kv.UpdateDocument(ctx, c.config.Store, key, func(body shard) (shard, error) {
		if !body.Made {
			if err := c.checkFloor(ctx, bucket); err != nil {
				return body, err
			}
		}
		return body.with(group)
	})
	if err != nil && !errors.Is(err, ErrTooOld) && !errors.Is(err, ErrFull) {
		err = fmt.Errorf("%v: %w", err, ErrNotClaimed)
	}
	for _, p := range group {
		p.done <- result{claim: document.Body.Claims[p.name], err: err}
	}
}

// with adds the claims of a group whose names are free.
func (s shard) with(group []*pending) (shard, error) {
	next := shard{Made: true, Claims: make(map[string]Claim, len(s.Claims)+len(group))}
	for name, claim := range s.Claims {
		next.Claims[name] = claim
	}
	for _, p := range group {
		if _, taken := next.Claims[p.name]; !taken {
			next.Claims[p.name] = p.claim
		}
	}
	if len(next.Claims) > maxShardClaims {
		return s, errors.Annotatef(ErrFull, "%d claims", len(next.Claims))
	}
	return next, nil
}

func bucketOf(at time.Time) int64 { return at.Unix() / int64(bucketTime.Seconds()) }

func documentKey(bucket int64, name string) string {
	return shardKey(bucket, int(xxhash.Sum64String(name)%shards))
}

func shardKey(bucket int64, shard int) string {
	return fmt.Sprintf("claims/%d/%d", bucket, shard)
}
