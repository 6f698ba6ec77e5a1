package cluster

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/juju/errors"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/mirror"
)

const (
	// maxBlobBytes bounds an unpacked blob, in bytes. A copy of the store with 20,000 upstreams takes 10 MB.
	maxBlobBytes = 32 << 20
	// maxCachedBlobs is how many packed blobs a box caches, so that transfers that started before the latest change
	// can complete. A configuration of 1,400 routes packs to 20 KB.
	maxCachedBlobs = 16
)

// errBadBlob is the error of a blob that cannot be unpacked or decoded.
const errBadBlob = errors.ConstError("packed content unreadable: it is fetched again")

// blobID names a blob that one box fetches from another. It is valid while the box that issued it runs.
type blobID string

// recordBlobPrefix starts the id of a record's value. The record's revision and key follow.
const recordBlobPrefix = "record/"

// recordBlob returns the id of a record's value at a revision. All boxes have the same value under this id.
func recordBlob(key string, revision int64) blobID {
	return blobID(fmt.Sprint(recordBlobPrefix, revision, "/", key))
}

// record returns the key and revision of the record whose value the blob is. ok is false for another blob.
func (id blobID) record() (key string, revision int64, ok bool) {
	text, ok := strings.CutPrefix(string(id), recordBlobPrefix)
	if !ok {
		return "", 0, false
	}
	number, key, _ := strings.Cut(text, "/")
	revision, err := strconv.ParseInt(number, 10, 64)
	return key, revision, err == nil
}

// sharedDeltaPrefix starts the id of a shared delta, which every box that has fetched it may send on.
const sharedDeltaPrefix = "since/"

// sharedDeltaBlob returns the id of the changes of the store after revision from, up to revision to.
func sharedDeltaBlob(from, to int64) blobID {
	return blobID(fmt.Sprint(sharedDeltaPrefix, from, "/", to))
}

// shared returns the revision of a blob that every box that has fetched it may send on. ok is false for another
// blob.
func (id blobID) shared() (revision int64, ok bool) {
	if _, revision, ok = id.record(); ok {
		return revision, true
	}
	text, ok := strings.CutPrefix(string(id), sharedDeltaPrefix)
	if !ok {
		return 0, false
	}
	_, to, _ := strings.Cut(text, "/")
	revision, err := strconv.ParseInt(to, 10, 64)
	return revision, err == nil
}

// blobCache holds the packed blobs that this box sends to others. It is safe for concurrent use.
type blobCache struct {
	mu   sync.Mutex
	list []blob
	// shared holds the latest shared deltas, the newest last.
	shared []sharedDelta
}

// blob is a packed value that is fetched in pieces.
type blob struct {
	id     blobID
	packed []byte
}

// get returns a packed blob. A record's value is packed from records if the record still has that revision there.
// The result is nil if the box does not have the blob.
func (c *blobCache) get(id blobID, records mirror.Records) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.IndexFunc(c.shared, func(kept sharedDelta) bool { return kept.id == id }); at >= 0 {
		return c.shared[at].packed, nil
	}
	at := slices.IndexFunc(c.list, func(kept blob) bool { return kept.id == id })
	if at >= 0 {
		return c.list[at].packed, nil
	}
	key, revision, ok := id.record()
	record, _ := records.Get(key)
	// A box of the previous version names a sequence number without an epoch.
	inPresentEpoch := kv.EpochOf(revision) == 0 && kv.SequenceOf(record.Revision) == revision
	if !ok || record.Revision != revision && !inPresentEpoch {
		return nil, nil
	}
	packed, err := pack(record.Value)
	if err != nil {
		return nil, err
	}
	c.putLocked(blob{id: id, packed: packed})
	return packed, nil
}

// has reports whether a blob that is not shared is cached.
func (c *blobCache) has(id blobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.list, func(kept blob) bool { return kept.id == id })
}

// put caches a blob.
func (c *blobCache) put(added blob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.putLocked(added)
}

// putLocked caches a blob and drops the oldest if there are too many. The caller holds the lock.
func (c *blobCache) putLocked(added blob) {
	c.list = append(c.list, added)
	c.list = c.list[max(0, len(c.list)-maxCachedBlobs):]
}

// pack compresses a value. A higher compression level makes routes no smaller.
func pack(value []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Trace(err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return packed.Bytes(), nil
}

// unpack decompresses a packed value. The error is of the kind errBadBlob if it cannot be read or is too long.
func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.WithType(err, errBadBlob)
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxBlobBytes+1))
	if err != nil {
		return nil, errors.WithType(err, errBadBlob)
	}
	if len(value) > maxBlobBytes {
		return nil, errors.Annotatef(errBadBlob, "more than %d bytes", maxBlobBytes)
	}
	return value, nil
}
