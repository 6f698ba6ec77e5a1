package claims

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

const (
	// bucketSpan is the length of a bucket: keys whose times fall into the same span share its documents.
	bucketSpan = time.Minute
	// shardsPerBucket is the number of documents of one bucket.
	shardsPerBucket = 4
	// maxShardClaims keeps a document below kv.MaxValueBytes, the platform's limit: 4000 claims leave 262 bytes for
	// each.
	maxShardClaims = 4000
)

// shard is the body of one document: some of the claims of one bucket.
type shard struct {
	// Made distinguishes a stored shard from an absent one.
	Made   bool             `json:"made"`
	Claims map[string]Claim `json:"claims"`
}

// queue collects claims for one document while an earlier write of it is in progress, so that they share the next
// write.
type queue struct {
	waiting []*pending
	writing bool
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

// enqueue adds a claim to its document's queue and starts a writer if none is running.
func (c *Claims) enqueue(bucket int64, key string, p *pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[key]
	if !ok {
		q = &queue{}
		c.queues[key] = q
	}
	q.waiting = append(q.waiting, p)
	if !q.writing {
		q.writing = true
		go c.writeBatches(bucket, key, q)
	}
}

// writeBatches commits the claims that wait for one document, batch after batch, until none is left.
func (c *Claims) writeBatches(bucket int64, key string, q *queue) {
	for {
		c.mu.Lock()
		batch := q.waiting
		q.waiting = nil
		if len(batch) == 0 {
			q.writing = false
			delete(c.queues, key)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.commit(bucket, key, batch)
	}
}

// commit writes a batch of claims with one swap and sends each the claim in force. A missing shard is created only if
// its bucket is not below the floor. Errors other than ErrTooOld and ErrFull become ErrNotClaimed; of their cause
// only the text is kept.
func (c *Claims) commit(bucket int64, key string, batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	document, err := kv.UpdateDocument(ctx, c.config.Store, key, func(body shard) (shard, error) {
		if !body.Made {
			if err := c.checkFloor(ctx, bucket); err != nil {
				return body, err
			}
		}
		return body.withClaims(batch)
	})
	if err != nil && !errors.Is(err, ErrTooOld) && !errors.Is(err, ErrFull) {
		err = fmt.Errorf("%v: %w", err, ErrNotClaimed)
	}
	for _, p := range batch {
		p.done <- result{claim: document.Body.Claims[p.name], err: err}
	}
}

// withClaims returns the shard with the claims of a batch added whose names are free. If they do not fit, the whole
// batch is refused.
func (s shard) withClaims(batch []*pending) (shard, error) {
	next := shard{Made: true, Claims: make(map[string]Claim, len(s.Claims)+len(batch))}
	for name, claim := range s.Claims {
		next.Claims[name] = claim
	}
	for _, p := range batch {
		if _, taken := next.Claims[p.name]; !taken {
			next.Claims[p.name] = p.claim
		}
	}
	if len(next.Claims) > maxShardClaims {
		return s, errors.Annotatef(ErrFull, "%d claims", len(next.Claims))
	}
	return next, nil
}

func bucketOf(at time.Time) int64 { return at.Unix() / int64(bucketSpan.Seconds()) }

func documentKey(bucket int64, name string) string {
	return shardKey(bucket, int(xxhash.Sum64String(name)%shardsPerBucket))
}

func shardKey(bucket int64, shard int) string {
	return fmt.Sprintf("claims/%d/%d", bucket, shard)
}
