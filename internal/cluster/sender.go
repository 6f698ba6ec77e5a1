package cluster

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/pkg/mirror"
)

const (
	// pieceBytes is the longest piece of a blob in one answer, in bytes. In base64 it takes a link of 10 Mbit/s 18
	// ms, which is how long another message may wait behind it.
	pieceBytes = 16 << 10
	// pieceWireBytes is the size of a piece on the link.
	pieceWireBytes = pieceBytes * 4 / 3
	// maxLinkBlocking is how long the pieces that a box sends to several others at once may delay other messages. A
	// box that has a blob sends it on, so that sending to few boxes at once reaches all of them sooner than sending
	// to many.
	maxLinkBlocking = 9 * time.Millisecond
	// minReceivers is how many boxes a box on a slow link sends blobs to at once.
	minReceivers = 2
	// receiverTTL is how long after its last piece a box counts as a receiver. It is several times what a piece
	// takes on a link of 10 Mbit/s that four share.
	receiverTTL = 300 * time.Millisecond
	// maxReferredHolders is how many other holders of the blob a busy answer names.
	maxReferredHolders = 3
)

// pieceSender sends the pieces of blobs to a few boxes at once, and refers the others to boxes that have them. It is
// safe for concurrent use.
type pieceSender struct {
	blobs blobCache
	// maxReceivers is how many boxes it sends blobs to at once, without relays.
	maxReceivers int
	// isRelay reports whether the box with a peer address is the relay of its hall; nil if there are no relays.
	isRelay func(address string) bool

	mu sync.Mutex
	// receivers holds when each box that receives a blob was last sent a piece, by address.
	receivers map[string]time.Time
	// holders are the boxes that were sent all pieces of a blob, by address.
	holders map[blobID]map[string]bool
}

// newPieceSender returns a sender for a link of a rate; 0 if the rate is unknown. isRelay reports whether the box with a
// peer address is the relay of its hall; nil means that none is.
func newPieceSender(bytesPerSecond float64, isRelay func(address string) bool) *pieceSender {
	limit := int(bytesPerSecond * maxLinkBlocking.Seconds() / pieceWireBytes)
	return &pieceSender{maxReceivers: max(minReceivers, limit), isRelay: isRelay, receivers: map[string]time.Time{}, holders: map[blobID]map[string]bool{}}
}

// answer answers a request for a piece. records are those of this box's copy of the store.
func (s *pieceSender) answer(request pieceRequest, records mirror.Records) (pieceAnswer, error) {
	packed, err := s.blobs.get(request.Blob, records)
	if err != nil || len(packed) == 0 || request.Offset < 0 || request.Offset >= len(packed) {
		return pieceAnswer{}, err
	}
	if busy, holders := s.admit(request, time.Now()); busy {
		return pieceAnswer{Size: len(packed), Busy: true, Holders: holders}, nil
	}
	end := min(request.Offset+pieceBytes, len(packed))
	if end == len(packed) {
		s.recordCompleted(request)
	}
	return pieceAnswer{Size: len(packed), Data: packed[request.Offset:end]}, nil
}

// admit decides whether a box is sent a piece now. If busy is true, it is not, and holders are boxes to ask instead.
func (s *pieceSender) admit(request pieceRequest, now time.Time) (busy bool, holders []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.receivers, func(_ string, last time.Time) bool { return now.Sub(last) > receiverTTL })
	_, receiving := s.receivers[request.From]
	// A relay does not wait behind the boxes of this hall: all boxes of its own hall wait for it.
	relay := s.isRelay != nil && s.isRelay(request.From)
	if receiving || relay || len(s.receivers) < s.maxReceivers {
		s.receivers[request.From] = now
		return false, nil
	}
	holders = slices.Collect(maps.Keys(s.holders[request.Blob]))
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	return true, holders[:min(maxReferredHolders, len(holders))]
}

// recordCompleted records that a box was sent the last piece of a blob and, if the blob is shared, as a holder of
// it.
func (s *pieceSender) recordCompleted(request pieceRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.receivers, request.From)
	if _, ok := request.Blob.shared(); !ok {
		return
	}
	if s.holders[request.Blob] == nil {
		s.evictOldest()
		s.holders[request.Blob] = map[string]bool{}
	}
	s.holders[request.Blob][request.From] = true
}

// evictOldest makes room for the holders of another blob. The caller holds the lock.
func (s *pieceSender) evictOldest() {
	if len(s.holders) < maxCachedBlobs {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(s.holders)), func(a, b blobID) int {
		first, _ := a.shared()
		second, _ := b.shared()
		return int(first - second)
	})
	delete(s.holders, oldest)
}
