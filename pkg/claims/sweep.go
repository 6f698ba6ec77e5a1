package claims

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// floorKey is the place of the oldest bucket that may still be made.
const floorKey = "claims-floor"

// windowsKept is how many windows a claim stays, so that clocks that differ do no harm.
const windowsKept = 2

// floor says which buckets are forgotten.
type floor struct {
	// Bucket is the oldest that may be made; older ones may be gone.
	Bucket int64 `json:"bucket"`
	// Swept is the oldest that may still stand in the store.
	Swept int64 `json:"swept"`
}

// checkFloor refuses to make a bucket anew that was forgotten.
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

// Sweep forgets claims of long ago. It first raises the floor, and deletes only what was below
// the floor of the sweep before: a claim under way may have read the floor of then.
// Sweeps should be a minute or more apart.
func (c *Claims) Sweep(ctx context.Context) error {
	keep := bucketOf(time.Now().Add(-windowsKept * c.config.Window))
	old, err := kv.ReadDocument[floor](ctx, c.config.Store, floorKey)
	if err != nil {
		return err
	}
	swept := old.Body.Swept
	if old.Revision == 0 {
		swept = keep
	}
	for ; swept < old.Body.Bucket; swept++ {
		if err := c.forget(ctx, swept); err != nil {
			return err
		}
	}
	_, err = kv.UpdateDocument(ctx, c.config.Store, floorKey, func(f floor) (floor, error) {
		return floor{Bucket: max(f.Bucket, keep), Swept: max(f.Swept, swept)}, nil
	})
	return err
}

// forget deletes the documents of one bucket.
func (c *Claims) forget(ctx context.Context, bucket int64) error {
	for i := range shards {
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
