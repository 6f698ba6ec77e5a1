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
	// pieceBytes is the longest part of a content in one answer, in bytes. With base64 it takes a link of
	// 10 Mbit/s 18 ms, which is how long another message may wait behind it.
	pieceBytes = 16 << 10
	// pieceWireBytes is what a piece takes of a link.
	pieceWireBytes = pieceBytes * 4 / 3
	// longestHoldUp is for how long the pieces that a box sends to several others at once may hold up other messages. Who has a content sends
	// it on, so that few at once reach all sooner than many do.
	longestHoldUp = 9 * time.Millisecond
	// leastReceivers is to how many boxes one sends contents at once on a slow link.
	leastReceivers = 2
	// receiverTTL is how long after its last piece a box counts as receiving. Several times what a
	// piece takes on a link of 10 Mbit/s that four share.
	receiverTTL = 300 * time.Millisecond
	// namedHolders is how many boxes an answer names that have the content too.
	namedHolders = 3
)

// sender sends the pieces of contents to a few boxes at once, and refers the others to those that have them.
// It is safe for concurrent use.
type sender struct {
	contents contents
	// maxReceivers is to how many boxes it sends contents at once.
	maxReceivers int

	mu sync.Mutex
	// receivers are the boxes that receive contents, and when each was last sent a piece, by address.
	receivers map[string]time.Time
	// holders are the boxes that were sent all of a content, by address.
	holders map[contentID]map[string]bool
}

// newSender returns a sender for a link of a rate; 0 if the rate is not known.
func newSender(bytesPerSecond float64) *sender {
	most := int(bytesPerSecond * longestHoldUp.Seconds() / pieceWireBytes)
	return &sender{maxReceivers: max(leastReceivers, most), receivers: map[string]time.Time{}, holders: map[contentID]map[string]bool{}}
}

// answer answers a request for a piece. records are those of this box's copy of the store.
func (s *sender) answer(request pieceRequest, records mirror.Records) (pieceAnswer, error) {
	packed, err := s.contents.get(request.Content, records)
	if err != nil || len(packed) == 0 || request.Offset < 0 || request.Offset >= len(packed) {
		return pieceAnswer{}, err
	}
	if busy, holders := s.admit(request, time.Now()); busy {
		return pieceAnswer{Size: len(packed), Busy: true, Holders: holders}, nil
	}
	end := min(request.Offset+pieceBytes, len(packed))
	if end == len(packed) {
		s.completed(request)
	}
	return pieceAnswer{Size: len(packed), Data: packed[request.Offset:end]}, nil
}

// admit decides whether a box is sent a piece now. If not, it names boxes to ask instead.
func (s *sender) admit(request pieceRequest, now time.Time) (busy bool, holders []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.receivers, func(_ string, last time.Time) bool { return now.Sub(last) > receiverTTL })
	_, receiving := s.receivers[request.From]
	if receiving || len(s.receivers) < s.maxReceivers {
		s.receivers[request.From] = now
		return false, nil
	}
	holders = slices.Collect(maps.Keys(s.holders[request.Content]))
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	return true, holders[:min(namedHolders, len(holders))]
}

// completed notes that a box was sent the last piece of a content, which can be fetched from it from then on.
func (s *sender) completed(request pieceRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.receivers, request.From)
	if _, ok := request.Content.shared(); !ok {
		return
	}
	if s.holders[request.Content] == nil {
		s.forgetOldest()
		s.holders[request.Content] = map[string]bool{}
	}
	s.holders[request.Content][request.From] = true
}

// forgetOldest makes room for the holders of another record. The caller holds the lock.
func (s *sender) forgetOldest() {
	if len(s.holders) < keptContents {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(s.holders)), func(a, b contentID) int {
		first, _ := a.shared()
		second, _ := b.shared()
		return int(first - second)
	})
	delete(s.holders, oldest)
}
