package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// setCut cuts a hall off from all others and the store, or ends that.
func (c *crashFleet) setCut(hall string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[hall] = cut
}

// parted reports whether two halls do not reach each other; "" is the store's.
func (c *crashFleet) parted(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a != b && (c.cut[a] || c.cut[b])
}

var errParted = errors.New("no way there")

// dial connects boxes of halls that reach each other.
func (c *crashFleet) dial(from string) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n := 0
		_, _ = fmt.Sscanf(address, "n%d:", &n)
		if c.parted(from, c.hallOf(n)) {
			return nil, errParted
		}
		conn, err := c.network.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partedConn{Conn: conn, parted: func() bool { return c.parted(from, c.hallOf(n)) }}, nil
	}
}

// partedConn fails while its ends do not reach each other.
type partedConn struct {
	net.Conn
	parted func() bool
}

// Write fails where there is no way.
func (p *partedConn) Write(b []byte) (int, error) {
	if p.parted() {
		return 0, errParted
	}
	return p.Conn.Write(b)
}

// storeOf is the store as a hall reaches it.
func (c *crashFleet) storeOf(hall string) kv.Store {
	away := func() error {
		if c.parted(hall, "") {
			return kv.ErrUnavailable
		}
		return nil
	}
	store := c.store
	store.Get = func(ctx context.Context, key string) (kv.Record, error) {
		if err := away(); err != nil {
			return kv.Record{}, err
		}
		return c.store.Get(ctx, key)
	}
	store.Snapshot = func(ctx context.Context, prefix string) (kv.Snapshot, error) {
		if err := away(); err != nil {
			return kv.Snapshot{}, err
		}
		return c.store.Snapshot(ctx, prefix)
	}
	store.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
		if err := away(); err != nil {
			return kv.Record{}, err
		}
		return c.store.Swap(ctx, swap)
	}
	store.Grant = func(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
		if err := away(); err != nil {
			return 0, err
		}
		return c.store.Grant(ctx, ttl)
	}
	store.Watch = func(ctx context.Context, watching kv.Watching) (<-chan []kv.Event, error) {
		if err := away(); err != nil {
			return nil, err
		}
		return answering(ctx, c.store, watching)
	}
	return store
}
