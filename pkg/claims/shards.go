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
	// bucketSpan is the span of key times that share documents: 1 min.
	bucketSpan = time.Minute
	// shardsPerBucket is the number of documents of one bucket: 4.
	shardsPerBucket = 4
	// maxShardClaims keeps a document below kv.MaxValueBytes, bound of the platform: 4000 claims leave
	// 262 bytes for each.
	maxShardClaims = 4000
)

// shard is the body of one document: some of the claims of one bucket.
type shard struct {
	// Made distinguishes a stored shard from an absent one.
	Made   bool             `json:"made"`
	Claims map[string]Claim `json:"claims"`
}

// queue collects claims while an earlier write of the same document is under way, so that they
// share the next one.
type queue struct {
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

// enqueue adds a claim to its document's batch and starts a writer if none is at work.
func (c *Claims) enqueue(bucket int64, key string, p *pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[key]
	if !ok {
		q = &queue{}
		c.queues[key] = q
	}
	q.waiting = append(q.waiting, p)
	if !q.busy {
		q.busy = true
		go c.writeBatches(bucket, key, q)
	}
}

// writeBatches commits what waits for one document, batch after batch, until nothing waits.
func (c *Claims) writeBatches(bucket int64, key string, q *queue) {
	for {
		c.mu.Lock()
		group := q.waiting
		q.waiting = nil
		if len(group) == 0 {
			q.busy = false
			delete(c.queues, key)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.commit(bucket, key, group)
	}
}

// commit writes a group of claims with one swap and hands each the claim in force. A shard is
// made only above the floor. Of other causes than ErrTooOld and ErrFull only the text goes on.
func (c *Claims) commit(bucket int64, key string, group []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	document, err := kv.UpdateDocument(ctx, c.config.Store, key, func(body shard) (shard, error) {
		if !body.Made {
			if err := c.checkFloor(ctx, bucket); err != nil {
				return body, err
			}
		}
		return body.withClaims(group)
	})
	if err != nil && !errors.Is(err, ErrTooOld) && !errors.Is(err, ErrFull) {
		err = fmt.Errorf("%v: %w", err, ErrNotClaimed)
	}
	for _, p := range group {
		p.done <- result{claim: document.Body.Claims[p.name], err: err}
	}
}

// withClaims adds the claims of a group whose names are free. If they do not fit, all of the group
// are refused.
func (s shard) withClaims(group []*pending) (shard, error) {
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

func bucketOf(at time.Time) int64 { return at.Unix() / int64(bucketSpan.Seconds()) }

func documentKey(bucket int64, name string) string {
	return shardKey(bucket, int(xxhash.Sum64String(name)%shardsPerBucket))
}

func shardKey(bucket int64, shard int) string {
	return fmt.Sprintf("claims/%d/%d", bucket, shard)
}
