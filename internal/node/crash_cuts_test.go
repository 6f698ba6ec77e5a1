package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

// setPartition begins or ends a network partition between a hall and all others, the store included.
func (c *crashFleet) setPartition(hall string, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[hall] = partitioned
}

// unreachable reports whether a partition separates two halls. The store is in the hall "".
func (c *crashFleet) unreachable(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a != b && (c.partitioned[a] || c.partitioned[b])
}

var errUnreachable = errors.New("network partition")

// dial returns the dial function of a hall's boxes, which fails across a partition.
func (c *crashFleet) dial(from string) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n := 0
		_, _ = fmt.Sscanf(address, "n%d:", &n)
		if c.unreachable(from, c.hallOf(n)) {
			return nil, errUnreachable
		}
		conn, err := c.network.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, unreachable: func() bool { return c.unreachable(from, c.hallOf(n)) }}, nil
	}
}

// partitionedConn is a connection whose writes fail while a partition separates its ends.
type partitionedConn struct {
	net.Conn
	unreachable func() bool
}

// Write fails during a partition.
func (p *partitionedConn) Write(b []byte) (int, error) {
	if p.unreachable() {
		return 0, errUnreachable
	}
	return p.Conn.Write(b)
}

// storeOf returns the store for boxes of a hall. Its calls fail while a partition separates the hall from it.
func (c *crashFleet) storeOf(hall string) kv.Store {
	storeError := func() error {
		if c.unreachable(hall, "") {
			return kv.ErrUnavailable
		}
		return nil
	}
	store := c.store
	store.Get = func(ctx context.Context, key string) (kv.Record, error) {
		if err := storeError(); err != nil {
			return kv.Record{}, err
		}
		return c.store.Get(ctx, key)
	}
	store.Snapshot = func(ctx context.Context, prefix string) (kv.Snapshot, error) {
		if err := storeError(); err != nil {
			return kv.Snapshot{}, err
		}
		return c.store.Snapshot(ctx, prefix)
	}
	store.Swap = func(ctx context.Context, swap kv.Swap) (kv.Record, error) {
		if err := storeError(); err != nil {
			return kv.Record{}, err
		}
		return c.store.Swap(ctx, swap)
	}
	store.Grant = func(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
		if err := storeError(); err != nil {
			return kv.LeaseID{}, err
		}
		return c.store.Grant(ctx, ttl)
	}
	store.Watch = func(ctx context.Context, options kv.WatchOptions) (<-chan []kv.Event, error) {
		if err := storeError(); err != nil {
			return nil, err
		}
		return pollingWatch(ctx, c.store, options)
	}
	return store
}
