package box

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
)

// peerCallTimeout bounds one call to another box.
const peerCallTimeout = 2 * time.Second

// callPeer calls a method of the box at a peer address, within peerCallTimeout.
func callPeer[A any](ctx context.Context, peers *peer.Client, address, method string, params any) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return peer.Call[A](ctx, peers, address, method, params)
}
