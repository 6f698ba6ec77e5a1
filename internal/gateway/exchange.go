package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/logfield"
	"ospreymoor.example/ospreymoor/pkg/residency"
)

// exchangeWith tells one peer what is new, and takes in its answer.
func (c *cluster) exchangeWith(ctx context.Context, call partner) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := peer.Call[exchange](callCtx, c.client, call.address, methodExchange, c.message(call.name, call.voice))
	c.mu.Lock()
	m := call.member
	m.calling = false
	if err != nil {
		m.failed = time.Now()
		m.failures++
		first := m.failures == 1
		c.mu.Unlock()
		if first && ctx.Err() == nil {
			c.log.Info("peer lost", zap.String("peer", call.name), logfield.Error(err))
		}
		return
	}
	regained := m.failures > 0
	m.failures = 0
	c.mu.Unlock()
	if regained {
		c.log.Info("peer regained", zap.String("peer", call.name))
	}
	c.hear(ctx, answer)
}

// message is what one peer is told now, by one voice.
func (c *cluster) message(to string, speaks voice) exchange {
	box := c.boxes.take(to)
	message := exchange{
		From:        c.self,
		Voice:       speaks,
		Leaving:     c.leaving(),
		StoreLost:   c.storeLost(),
		StoreAge:    c.mirror.Age(),
		Staleness:   c.mirror.Staleness(),
		Revision:    c.mirror.State().Revision,
		OrderHolder: c.orderHolder(),
		Stamp:       c.gateway.Directory.Version(),
		Tally:       c.tallyFor(to, speaks),
		News:        box.news(),
	}
	for key, milliseconds := range box.asked {
		message.Work = append(message.Work, workItem{ModelKey: key, Milliseconds: milliseconds})
	}
	return message
}

// answerVoice is the voice in which a caller is answered.
func answerVoice(asked voice) voice {
	if asked == memberVoice {
		return fleetVoice
	}
	return asked
}

// answerExchange answers a peer's exchange, with all that the peer lacks.
func (c *cluster) answerExchange(ctx context.Context, said exchange) (exchange, error) {
	c.hear(context.WithoutCancel(ctx), said)
	answer := c.message(said.From.Name, answerVoice(said.Voice))
	answer.Words = c.gateway.Directory.UpdateSince(said.Stamp)
	answer.Delta = c.mirror.DeltaSince(said.Revision)
	return answer, nil
}

// hear takes in what a peer said, and fetches what it has newer and did not say.
func (c *cluster) hear(ctx context.Context, said exchange) {
	now := time.Now()
	c.noteMember(said, now)
	c.takeStock(now)
	c.gateway.Loads.MergeObservations(said.News)
	work := make(map[residency.ModelKey]float64, len(said.Work))
	for _, item := range said.Work {
		work[item.ModelKey] += item.Milliseconds
	}
	if len(work) > 0 {
		c.demand.Note(work, now)
	}
	if said.Voice == memberVoice || said.Voice == zoneVoice {
		c.boxes.forward(said.From.Name, said.Voice, said.News, work)
	}
	if said.Words != nil {
		c.gateway.Directory.Apply(*said.Words)
	}
	if said.Delta != nil {
		c.mirror.ApplyDelta(*said.Delta)
	}
	if said.Staleness >= 0 {
		c.mirror.ConfirmCurrent(said.Revision, now.Add(-said.Staleness))
	}
	newer := said.Revision > c.mirror.State().Revision
	if newer || c.gateway.Directory.Version().Before(said.Stamp) {
		go c.fetch(ctx, said.From.Address)
	}
}

// noteMember takes note of what a peer said of itself.
func (c *cluster) noteMember(said exchange, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.member(said.From)
	m.heard = now
	m.leaving, m.storeLost = said.Leaving, said.StoreLost
	if said.StoreAge >= 0 {
		m.storeHeard = now.Add(-said.StoreAge)
	}
	m.holder = said.OrderHolder != nil && said.OrderHolder.Name == said.From.Name
	c.noteHolder(said.From.Name, said.OrderHolder, now)
	if said.Tally != nil {
		m.voice, m.tally, m.tallied = said.Voice, *said.Tally, now
	}
	c.most = max(c.most, len(c.nodes)+1)
}

// fetch asks a peer for what it has newer.
func (c *cluster) fetch(ctx context.Context, address string) {
	if !c.fetching.CompareAndSwap(false, true) {
		return
	}
	defer c.fetching.Store(false)
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := copyRequest{Revision: c.mirror.State().Revision, Stamp: c.gateway.Directory.Version()}
	answer, err := peer.Call[copyAnswer](callCtx, c.client, address, methodCopy, request)
	if err != nil {
		return
	}
	if answer.Words != nil {
		c.gateway.Directory.Apply(*answer.Words)
	}
	if answer.Delta != nil {
		c.mirror.ApplyDelta(*answer.Delta)
	}
}

func (c *cluster) answerCopy(_ context.Context, request copyRequest) (copyAnswer, error) {
	answer := copyAnswer{Delta: c.mirror.DeltaSince(request.Revision), Words: c.gateway.Directory.UpdateSince(request.Stamp)}
	return answer, nil
}

// askSeeds gets a first copy from the machines named in the settings: the store may be away.
func (c *cluster) askSeeds(ctx context.Context) {
	for _, seed := range c.seeds {
		if seed == c.self.Address || c.mirror.State().Revision > 0 {
			continue
		}
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			answer, err := peer.Call[exchange](callCtx, c.client, seed, methodExchange, c.message("", noVoice))
			if err == nil {
				c.hear(ctx, answer)
			}
		}()
	}
}
