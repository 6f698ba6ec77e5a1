package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// coldTimeout bounds a call for a request to a cold engine, which its caller waits for.
const coldTimeout = 100 * time.Millisecond

// ColdStarts asks the boxes that keep the accounts of cold engines, and keeps those that fall to this box.
type ColdStarts struct {
	Members *Members
	Client  *peer.Client
	Kept    *dispatch.ColdStarts
	Log     *zap.Logger
}

// Handle has a server answer for this box.
func (c *ColdStarts) Handle(server *peer.Server) { peer.Handle(server, methodCold, c.answer) }

// Ask asks the keeper of an engine, which may be this box. The error is errKeeperLost or that of the call: the engine then gets nothing of
// this box.
func (c *ColdStarts) Ask(ctx context.Context, ask dispatch.ColdAsk) (dispatch.ColdGrant, error) {
	keeper := c.Members.keeperOf(ask.Engine)
	if keeper.Name == c.Members.self.Name {
		return c.answer(ctx, ask)
	}
	call := keeperCall{Members: c.Members, Client: c.Client, Log: c.Log, Method: methodCold, Keeper: keeper, Timeout: coldTimeout}
	return askKeeper[dispatch.ColdGrant](ctx, call, ask)
}

func (c *ColdStarts) answer(_ context.Context, ask dispatch.ColdAsk) (dispatch.ColdGrant, error) {
	now := time.Now()
	return c.Kept.Ask(ask, c.Members.shareInTouch(now), now), nil
}
