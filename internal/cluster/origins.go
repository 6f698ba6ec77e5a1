package cluster

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/origins"
)

const (
	// originTimeout bounds a call that asks where a stream began. The caller of a broken stream waits for it.
	originTimeout = 60 * time.Millisecond
	// originShards is the number of parts into which a large fleet divides streams, each with keepers of its own. In a
	// small one, two boxes keep all records.
	originShards = 16
	// savePart names the part whose first keeper writes all records to the store, so that the number of writes does not
	// grow with the fleet. In a small fleet it is the only part.
	savePart = "origins"
	// maxPendingOrigins bounds the records of one part that wait to be sent.
	maxPendingOrigins = 4000
)

// Origins records at the boxes that keep them at which software version streams began, and asks these.
type Origins struct {
	Members *Members
	Client  *peer.Client
	// Directory has the versions in use.
	Directory *fleet.Directory
	// Kept are the records that this box knows.
	Kept *origins.Register
	// Save is called with the records that this box is to write to the store.
	Save func(records []origins.Record)
	Log  *zap.Logger

	mu sync.Mutex
	// running is the context of Run; nil before and after it. senders are the goroutines that send records.
	running context.Context
	senders sync.WaitGroup
	// pending holds the records to send, by the name of their part; a name is present while a goroutine sends them.
	pending map[string][]origins.Record
	// unsaved holds the records to forward to the box that writes them, and forwarding is set while a goroutine does so.
	unsaved    []origins.Record
	forwarding bool
	// noted is when this box had each version noted that serves; nil while others do so.
	noted map[origins.Origin]time.Time
}

// Handle registers the methods by which other boxes record and ask where streams began.
func (o *Origins) Handle(server *peer.Server) {
	peer.Handle(server, methodRecordOrigins, o.keep)
	peer.Handle(server, methodAskOrigin, o.answer)
	peer.Handle(server, methodSaveOrigins, o.saveForwarded)
}

// Run has records sent until ctx ends. Those that are made before or after it are kept by this box alone.
func (o *Origins) Run(ctx context.Context) {
	o.mu.Lock()
	o.running = ctx
	o.mu.Unlock()
	<-ctx.Done()
	o.mu.Lock()
	o.running = nil // No sender is started after this.
	o.mu.Unlock()
	o.senders.Wait()
}

// startSender runs a function that sends records, unless Run has ended or not begun. The caller holds the lock.
func (o *Origins) startSender(send func(ctx context.Context)) (started bool) {
	ctx := o.running
	if ctx == nil {
		return false
	}
	o.senders.Go(func() { send(ctx) })
	return true
}

// originAnswer answers where a stream began, with no origins if the box does not know.
type originAnswer struct {
	Origins []origins.Origin `json:"origins,omitempty"`
	// Versions are the versions in use of the service that was asked for, if there are several.
	Versions []string `json:"versions,omitempty"`
	// Age of the record.
	Age time.Duration `json:"age,omitempty"`
}

// partOf returns the name of the part that a stream belongs to.
func (o *Origins) partOf(stream origins.Stream) string {
	if !o.Members.Large() {
		return savePart
	}
	return fmt.Sprint(savePart, " ", uint64(stream)%originShards)
}

// Record has records kept, here and by their keepers. It does not wait for them. Records that are made while a message
// is under way go together in the next one.
func (o *Origins) Record(records ...origins.Record) {
	o.Kept.Add(records...)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending == nil {
		o.pending = map[string][]origins.Record{}
	}
	for _, record := range records {
		part := o.partOf(record.Stream)
		waiting, underway := o.pending[part]
		if !underway && !o.startSender(func(ctx context.Context) { o.sendPending(ctx, part) }) {
			return
		}
		if len(waiting) < maxPendingOrigins {
			waiting = append(waiting, record)
		}
		o.pending[part] = waiting
	}
}

func (o *Origins) answer(_ context.Context, question origins.Question) (originAnswer, error) {
	found, age := o.Kept.Find(question.Stream)
	answer := originAnswer{Origins: found, Age: age}
	if versions := o.Directory.VersionsInUse(question.Service); len(versions) > 1 {
		answer.Versions = versions
	}
	return answer, nil
}

// Find returns where a stream began: from this box's records, or else from the keepers' if ask is set. It returns no
// origins if none of them answers in time with a record. It notes the versions that the keepers know of.
func (o *Origins) Find(ctx context.Context, question origins.Question, ask bool) origins.Found {
	stream := question.Stream
	if found, age := o.Kept.Find(stream); len(found) > 0 || !ask {
		return origins.Found{Origins: found, Source: o.Members.self.Name, Age: age}
	}
	keepers := slices.DeleteFunc(o.Members.originKeepersOf(o.partOf(stream)), func(keeper Box) bool {
		return keeper.Name == o.Members.self.Name
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan origins.Found, len(keepers))
	for _, keeper := range keepers {
		go func() { answers <- o.ask(ctx, keeper, question) }()
	}
	answered := len(keepers) == 0 // There is no other box that could know more.
	for range keepers {
		found := <-answers
		answered = answered || found.Answered
		if len(found.Origins) > 0 {
			for _, origin := range found.Origins {
				o.Kept.Add(origins.Record{Stream: stream, Origin: origin})
			}
			return found
		}
	}
	return origins.Found{Answered: answered}
}

// ask asks one keeper. A failure counts as no record: callKeeper logs when the keeper is lost and regained.
func (o *Origins) ask(ctx context.Context, keeper Box, question origins.Question) origins.Found {
	call := keeperCall{Members: o.Members, Client: o.Client, Log: o.Log, Method: methodAskOrigin, Keeper: keeper, Timeout: originTimeout}
	answer, err := callKeeper[originAnswer](ctx, call, question)
	if err != nil {
		return origins.Found{}
	}
	for _, version := range answer.Versions {
		o.Directory.RecordVersion(question.Service, version)
	}
	return origins.Found{Origins: answer.Origins, Source: keeper.Name, Age: answer.Age, Answered: true}
}
