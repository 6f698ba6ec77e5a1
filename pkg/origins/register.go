package origins

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stream identifies a stream by a digest of the id of an attempt that brought its first event.
type Stream uint64

// versionNote is the stream of a record that only states that a software version serves.
const versionNote Stream = 0

// NoteOf returns a record that only states that a software version serves.
func NoteOf(version Origin) Record { return Record{Stream: versionNote, Origin: version} }

// StreamOf returns the identity of the stream that an attempt began.
func StreamOf(attempt string) Stream { return Stream(xxhash.Sum64String(attempt)) }

// Origin is a software version of a service.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Record states where a stream began. A stream that went on at another service has a record for each.
type Record struct {
	Stream Stream `json:"stream"`
	Origin
}

// Found has the known origins of a stream.
type Found struct {
	// Origins are none if no record is known.
	Origins []Origin
	// Source is the box that knows it, and Age how old its record is.
	Source string
	Age    time.Duration
	// Answered means that another box answered, with or without a record.
	Answered bool
}

// Question asks where a stream began that would go on at a service.
type Question struct {
	Stream  Stream `json:"stream"`
	Service string `json:"service,omitempty"`
}

const (
	// Retention of a record. Callers take streams up again within seconds.
	Retention = 2 * time.Minute
	// DefaultMaxStreams bounds the streams of a register. With 180 bytes each they take 6 MB.
	DefaultMaxStreams = 1 << 15
	// maxOriginsPerStream bounds the services of one stream.
	maxOriginsPerStream = 4
)

// Register holds the records that one box knows. The first record of a stream at a service holds. Records expire after
// Retention; when there are too many, the oldest go first. It is safe for concurrent use.
type Register struct {
	// MaxStreams bounds the streams; set it before the first use.
	MaxStreams int

	mu       sync.Mutex
	byStream map[Stream]*list.Element
	// byAge holds the entries, the latest first.
	byAge list.List
	// evicted counts the streams that were dropped before they expired.
	evicted int
}

// entry has the origins of one stream.
type entry struct {
	stream  Stream
	origins []Origin
	at      time.Time
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{MaxStreams: DefaultMaxStreams, byStream: map[Stream]*list.Element{}}
}

// Add adds records of streams. One of a stream that has a record at the same service only renews it.
func (r *Register) Add(records ...Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.expire(now)
	for _, record := range records {
		if record.Stream != versionNote {
			r.add(record, now)
		}
	}
}

// add adds one record. The caller holds the lock.
func (r *Register) add(record Record, now time.Time) {
	element := r.byStream[record.Stream]
	if element == nil {
		if r.byAge.Len() >= r.MaxStreams {
			r.remove(r.byAge.Back())
			r.evicted++
		}
		r.byStream[record.Stream] = r.byAge.PushFront(&entry{stream: record.Stream, origins: []Origin{record.Origin}, at: now})
		return
	}
	r.byAge.MoveToFront(element)
	known := element.Value.(*entry)
	known.at = now
	if len(known.origins) < maxOriginsPerStream && known.versionAt(record.Service) == nil {
		known.origins = append(known.origins, record.Origin)
	}
}

func (e *entry) versionAt(service string) *Origin {
	for i := range e.origins {
		if e.origins[i].Service == service {
			return &e.origins[i]
		}
	}
	return nil
}

// Remove forgets a stream.
func (r *Register) Remove(stream Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if element := r.byStream[stream]; element != nil {
		r.remove(element)
	}
}

// Find returns the origins of a stream and the age of the latest record; none if the stream is not known.
func (r *Register) Find(stream Stream) (found []Origin, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.expire(now)
	element := r.byStream[stream]
	if element == nil {
		return nil, 0
	}
	known := element.Value.(*entry)
	return append([]Origin(nil), known.origins...), now.Sub(known.at)
}

// OfService returns the records of a service, the oldest first.
func (r *Register) OfService(service string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(time.Now())
	var records []Record
	for element := r.byAge.Back(); element != nil; element = element.Prev() {
		known := element.Value.(*entry)
		if origin := known.versionAt(service); origin != nil {
			records = append(records, Record{Stream: known.stream, Origin: *origin})
		}
	}
	return records
}

// Counts returns how many streams are known, and how many were dropped before they expired.
func (r *Register) Counts() (known, evicted int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(time.Now())
	return r.byAge.Len(), r.evicted
}

// expire drops the streams whose records are older than Retention. The caller holds the lock.
func (r *Register) expire(now time.Time) {
	for oldest := r.byAge.Back(); oldest != nil && now.Sub(oldest.Value.(*entry).at) >= Retention; oldest = r.byAge.Back() {
		r.remove(oldest)
	}
}

// remove drops one stream. The caller holds the lock.
func (r *Register) remove(element *list.Element) {
	delete(r.byStream, element.Value.(*entry).stream)
	r.byAge.Remove(element)
}
