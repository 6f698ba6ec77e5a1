package claims

import (
	"context"
	"time"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// floorKey is the key of the floor in the key-value service.
const floorKey = "claims-floor"

// windowsKept is the number of windows for which a claim is kept, so that boxes whose clocks
// differ by up to one window do no harm: 2.
const windowsKept = 2

// floor records which buckets are forgotten, by their numbers.
type floor struct {
	// Bucket is the oldest that may be made; older ones may be gone.
	Bucket int64 `json:"bucket"`
	// Swept is the oldest that may still be in the store.
	Swept int64 `json:"swept"`
}

// checkFloor returns ErrTooOld for a bucket that was forgotten and so may not be made anew.
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

// Sweep deletes claims older than windowsKept windows. It deletes only what is below the floor of
// the sweep before and then raises the floor, because a claim under way may have read that floor.
// Sweeps must be a minute or more apart, far above callTimeout. After an error the next sweep
// goes on from the same bucket.
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
