package cluster

import (
	"context"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/logfield"
)

// apply takes in newer state.
func (e *Exchange) apply(newer copyAnswer) {
	if newer.Update != nil {
		e.Directory.Apply(*newer.Update)
	}
	if newer.Delta != nil {
		e.Mirror.ApplyDelta(*newer.Delta)
	}
}

// fetch asks a box for what it has newer; one fetch runs at a time.
func (e *Exchange) fetch(ctx context.Context, address string) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	defer e.fetching.Store(false)
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	request := copyRequest{Revision: e.Mirror.State().Revision, Version: e.Directory.Version()}
	answer, err := peer.Call[copyAnswer](callCtx, e.Client, address, methodCopy, request)
	if err != nil {
		// The next message from any box with newer state begins another fetch.
		e.Log.Info("newer state not fetched", zap.String("address", address), zap.Int64("revision", request.Revision), logfield.Error(err))
		return
	}
	e.apply(answer)
}

// answerCopy answers a fetch.
func (e *Exchange) answerCopy(_ context.Context, request copyRequest) (copyAnswer, error) {
	answer := copyAnswer{Delta: e.Mirror.DeltaSince(request.Revision), Update: e.Directory.UpdateSince(request.Version)}
	return answer, nil
}

// askSeeds gets a first copy from the boxes named in the settings: the store may be away.
func (e *Exchange) askSeeds(ctx context.Context) {
	for _, seed := range e.Seeds {
		if seed == e.Members.self.Address || e.Mirror.State().Revision > 0 {
			continue
		}
		go e.askSeed(ctx, seed)
	}
}

// askSeed gets a first copy from one box.
func (e *Exchange) askSeed(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := peer.Call[message](callCtx, e.Client, address, methodExchange, e.messageTo("", noScope))
	if err != nil {
		e.Log.Info("seed does not answer", zap.String("address", address), logfield.Error(err))
		return
	}
	e.receive(ctx, answer)
}
