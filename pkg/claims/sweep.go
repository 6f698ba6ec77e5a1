package claims

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// floorKey is the key of the floor in the key-value store.
const floorKey = "claims-floor"

// retentionWindows is the number of windows for which a claim is kept. With 2, boxes whose clocks differ by up to one
// window do no harm.
const retentionWindows = 2

// floor is the stored state of sweeps: which buckets, by their numbers, may have been deleted.
type floor struct {
	// Bucket is the oldest bucket whose documents may be created; those of older ones may have been deleted.
	Bucket int64 `json:"bucket"`
	// Swept is the oldest bucket that may still be in the store.
	Swept int64 `json:"swept"`
}

// checkFloor returns ErrTooOld for a bucket below the floor: its documents may have been deleted, so none of them may
// be created again.
func (c *Claims) checkFloor(ctx context.Context, bucket int64) error {
	f, err := kv.ReadDocument[floor](ctx, c.config.Store, floorKey)
	if err != nil {
		return err
	}
	if bucket < f.Body.Bucket {
		return errors.Annotatef(ErrTooOld, "bucket %d, oldest kept %d", bucket, f.Body.Bucket)
	}
	return nil
}

// Sweep deletes claims older than retentionWindows windows. It deletes only buckets below the floor that the previous
// sweep set, and then raises the floor: a call of Claim in progress may still go by the floor that it read earlier.
// Sweeps must be at least a minute apart, which is far longer than callTimeout. After an error the next sweep
// continues at the same bucket.
func (c *Claims) Sweep(ctx context.Context) error {
	keep := bucketOf(time.Now().Add(-retentionWindows * c.config.Window))
	before, err := kv.ReadDocument[floor](ctx, c.config.Store, floorKey)
	if err != nil {
		return err
	}
	swept := before.Body.Swept
	if before.Revision == 0 {
		swept = keep
	}
	for ; swept < before.Body.Bucket; swept++ {
		if err := c.deleteBucket(ctx, swept); err != nil {
			return err
		}
	}
	_, err = kv.UpdateDocument(ctx, c.config.Store, floorKey, func(f floor) (floor, error) {
		return floor{Bucket: max(f.Bucket, keep), Swept: max(f.Swept, swept)}, nil
	})
	return err
}

// deleteBucket deletes the documents of one bucket.
func (c *Claims) deleteBucket(ctx context.Context, bucket int64) error {
	for i := range shardsPerBucket {
		record, err := c.config.Store.Get(ctx, shardKey(bucket, i))
		if errors.Is(err, kv.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		if err := c.config.Store.Delete(ctx, record.Key, record.Revision); err != nil {
			return err
		}
	}
	return nil
}
