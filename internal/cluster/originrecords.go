package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/origins"
	"ospreymoor.example/ospreymoor/pkg/pause"
)

// This file sends records of where streams began to the boxes that keep them, and on to the one that writes them to the
// store.

const (
	// recordTimeout bounds a call that records where streams began.
	recordTimeout = 300 * time.Millisecond
	// originKeepers is the number of boxes that keep the record of a stream.
	originKeepers = 2
	// recordRetryDelay is the pause after no other box took records, and maxRecordTries how often in a row that is tried:
	// for longer than boxes are cut off from all others, as a rule.
	recordRetryDelay = 200 * time.Millisecond
	maxRecordTries   = 100
	// forwardDelay is the time in which a keeper gathers records for the box that writes them.
	forwardDelay = 100 * time.Millisecond
)

// originRecords are records for a box to keep.
type originRecords struct {
	Records []origins.Record `json:"records"`
	// Save means that the box is to write them to the store, too.
	Save bool `json:"save,omitempty"`
}

// sendPending sends the records of a part until there are none left. While no other box takes them, it tries again, up
// to maxRecordTries in a row.
func (o *Origins) sendPending(ctx context.Context, part string) {
	for failures := 0; ; {
		o.mu.Lock()
		records := o.pending[part]
		if len(records) == 0 {
			delete(o.pending, part)
			o.mu.Unlock()
			return
		}
		o.pending[part] = nil
		o.mu.Unlock()
		if o.send(ctx, part, records, failures > 0) {
			failures = 0
			continue
		}
		if failures++; failures == maxRecordTries {
			failures = 0 // These records are dropped.
			continue
		}
		if pause.For(ctx, recordRetryDelay) != nil {
			return
		}
		o.mu.Lock()
		if len(o.pending[part]) < maxPendingOrigins {
			o.pending[part] = append(records, o.pending[part]...)
		}
		o.mu.Unlock()
	}
}

// send sends records to the first originKeepers boxes that take them, and has one of them write the records to the store.
// again means that this box may have written them. It returns false if another box should have taken them and none did.
func (o *Origins) send(ctx context.Context, part string, records []origins.Record, again bool) bool {
	keepers := o.Members.originKeepersOf(part)
	first := min(len(keepers), originKeepers)
	taken := make([]bool, len(keepers))
	var sends sync.WaitGroup
	for n := range first {
		sends.Go(func() { taken[n] = o.sendTo(ctx, keepers[n], originRecords{Records: records, Save: n == 0}, again) })
	}
	sends.Wait()
	saved := len(keepers) > 0 && taken[0]
	copies := 0
	for n, keeper := range keepers {
		if n >= first && copies < originKeepers {
			taken[n] = o.sendTo(ctx, keeper, originRecords{Records: records, Save: !saved}, again)
			saved = saved || taken[n]
		}
		if taken[n] {
			copies++
		}
	}
	if at := slices.Index(taken, true); !saved && at >= 0 {
		o.sendTo(ctx, keepers[at], originRecords{Records: records, Save: true}, again)
	}
	return !o.lacksOther(keepers, taken)
}

// lacksOther reports whether there are other boxes among the keepers and none of them took the records.
func (o *Origins) lacksOther(keepers []Box, taken []bool) bool {
	others := false
	for n, keeper := range keepers {
		if keeper.Name == o.Members.self.Name {
			continue
		}
		if taken[n] {
			return false
		}
		others = true
	}
	return others
}

// sendTo sends records to a box that keeps them, which may be this one, and reports whether it took them.
func (o *Origins) sendTo(ctx context.Context, keeper Box, message originRecords, again bool) bool {
	if keeper.Name == o.Members.self.Name {
		message.Save = message.Save && !again
	}
	return o.deliver(ctx, keeper, methodRecordOrigins, o.keep, message)
}

// deliver passes records to a handler of a box, which may be this one, and reports whether it took them. The error is not
// logged: callKeeper logs when a keeper is lost and regained.
func (o *Origins) deliver(ctx context.Context, keeper Box, method string, handle func(context.Context, originRecords) (peer.Empty, error), message originRecords) bool {
	if keeper.Name == o.Members.self.Name {
		_, err := handle(ctx, message)
		return err == nil
	}
	call := keeperCall{Members: o.Members, Client: o.Client, Log: o.Log, Method: method, Keeper: keeper, Timeout: recordTimeout}
	_, err := callKeeper[peer.Empty](ctx, call, message)
	return err == nil
}

func (o *Origins) keep(_ context.Context, message originRecords) (peer.Empty, error) {
	o.Kept.Add(message.Records...)
	if message.Save {
		o.forward(message.Records)
	}
	return peer.Empty{}, nil
}

// forward has records written to the store, by the box that does so for all.
func (o *Origins) forward(records []origins.Record) {
	if !o.Members.Large() {
		o.Save(records)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.unsaved) < maxPendingOrigins {
		o.unsaved = append(o.unsaved, records...)
	}
	if !o.forwarding {
		o.forwarding = o.startSender(o.sendUnsaved)
	}
}

// sendUnsaved forwards records until there are none left. Those that no box takes are not written.
func (o *Origins) sendUnsaved(ctx context.Context) {
	for {
		_ = pause.For(ctx, forwardDelay) // Calls fail once ctx has ended, and the loop ends.
		o.mu.Lock()
		records := o.unsaved
		o.unsaved, o.forwarding = nil, len(records) > 0
		o.mu.Unlock()
		if len(records) == 0 {
			return
		}
		for _, keeper := range o.Members.originKeepersOf(savePart) {
			if o.deliver(ctx, keeper, methodSaveOrigins, o.saveForwarded, originRecords{Records: records}) {
				break
			}
		}
	}
}

// saveForwarded writes the records that another keeper forwards.
func (o *Origins) saveForwarded(_ context.Context, message originRecords) (peer.Empty, error) {
	o.Save(message.Records)
	return peer.Empty{}, nil
}
