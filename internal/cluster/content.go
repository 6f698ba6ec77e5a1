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

	"ospreymoor.example/ospreymoor/pkg/mirror"
)

const (
	// maxContentBytes bounds an unpacked content, in bytes: a copy of the store of 20,000 upstreams takes 10 MB.
	maxContentBytes = 32 << 20
	// keptContents is how many packed contents a box keeps, so that transfers end that began before the
	// latest change. A configuration of 1,400 routes packs to 20 KB.
	keptContents = 16
)

// errContent is the error of a content that is not what was asked for.
const errContent = errors.ConstError("packed content unreadable: it is fetched again")

// contentID names a content that one box fetches from another, for as long as the box that named it runs.
type contentID string

// recordPrefix begins the id of a record's value, followed by its revision and key.
const recordPrefix = "record/"

// recordContent is the value of a record at a revision; it is the same on all boxes.
func recordContent(key string, revision int64) contentID {
	return contentID(fmt.Sprint(recordPrefix, revision, "/", key))
}

// record returns the key and revision of a record's content.
func (id contentID) record() (key string, revision int64, ok bool) {
	text, ok := strings.CutPrefix(string(id), recordPrefix)
	if !ok {
		return "", 0, false
	}
	number, key, _ := strings.Cut(text, "/")
	revision, err := strconv.ParseInt(number, 10, 64)
	return key, revision, err == nil
}

// sharedPrefix begins the id of a copy of newer state that any box may send which has fetched it.
const sharedPrefix = "since/"

// sharedContent is what is newer than a revision of the store, as of a later one.
func sharedContent(from, to int64) contentID {
	return contentID(fmt.Sprint(sharedPrefix, from, "/", to))
}

// shared returns the revision as of which a content is that any box may send which has fetched it.
func (id contentID) shared() (revision int64, ok bool) {
	if _, revision, ok = id.record(); ok {
		return revision, true
	}
	text, ok := strings.CutPrefix(string(id), sharedPrefix)
	if !ok {
		return 0, false
	}
	_, to, _ := strings.Cut(text, "/")
	revision, err := strconv.ParseInt(to, 10, 64)
	return revision, err == nil
}

// contents are the packed contents that this box sends to others. It is safe for concurrent use.
type contents struct {
	mu   sync.Mutex
	list []content
	// shared are the latest copies of newer state that boxes send on, the newest last.
	shared []sharedCopy
}

// content is one of them.
type content struct {
	id     contentID
	packed []byte
}

// get returns a content; that of a record is packed from the box's copy of the store if it has that
// revision. It is nil if the box does not have it.
func (c *contents) get(id contentID, records mirror.Records) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.IndexFunc(c.shared, func(kept sharedCopy) bool { return kept.id == id }); at >= 0 {
		return c.shared[at].packed, nil
	}
	at := slices.IndexFunc(c.list, func(kept content) bool { return kept.id == id })
	if at >= 0 {
		return c.list[at].packed, nil
	}
	key, revision, ok := id.record()
	record, _ := records.Get(key)
	if !ok || record.Revision != revision {
		return nil, nil
	}
	packed, err := pack(record.Value)
	if err != nil {
		return nil, err
	}
	c.add(content{id: id, packed: packed})
	return packed, nil
}

// keep keeps a content.
func (c *contents) keep(added content) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(added)
}

// add keeps a content and drops the oldest if there are too many. The caller holds the lock.
func (c *contents) add(added content) {
	c.list = append(c.list, added)
	c.list = c.list[max(0, len(c.list)-keptContents):]
}

// pack compresses a content. More effort makes routes no smaller.
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

// unpack returns what was packed. The error is of the kind errContent if it cannot be read or is too long.
func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.WithType(err, errContent)
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxContentBytes+1))
	if err != nil {
		return nil, errors.WithType(err, errContent)
	}
	if len(value) > maxContentBytes {
		return nil, errors.Annotatef(errContent, "over %d bytes", maxContentBytes)
	}
	return value, nil
}
