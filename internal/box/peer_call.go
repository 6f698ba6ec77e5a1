package box

import (
	"context"
	"time"

	"ospreymoor.example/ospreymoor/internal/peer"
)

// peerCallTime bounds one call to another box.
const peerCallTime = 2 * time.Second

// callPeer calls a method of the box at a peer address within peerCallTime.
func callPeer[A any](ctx context.Context, peers *peer.Client, address, method string, params any) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTime)
	defer cancel()
	return peer.Call[A](ctx, peers, address, method, params)
}
