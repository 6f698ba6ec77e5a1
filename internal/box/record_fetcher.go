package box

import (
	"context"

	"ospreymoor.example/ospreymoor/internal/peer"
	"ospreymoor.example/ospreymoor/pkg/records"
)

// recordFetcher fetches records from peers into the cache.
type recordFetcher struct {
	peers *peer.Client
	cache *records.Cache
}

// fetch asks the box at a peer address for records by name. A failure is not logged: the next heartbeat names the
// same records again, and a bundle's text is then requested from another peer or the store.
func (f *recordFetcher) fetch(ctx context.Context, address string, names []string) {
	answer, err := callPeer[peer.RecordsResponse](ctx, f.peers, address, peer.MethodRecords, peer.RecordsRequest{Names: names})
	if err != nil {
		return
	}
	for _, record := range answer.Records {
		f.cache.Put(record)
	}
}

// handleRecords answers another box with those of the records it asks for that this box has.
func (f *recordFetcher) handleRecords(_ context.Context, request peer.RecordsRequest) (peer.RecordsResponse, error) {
	var answer peer.RecordsResponse
	for _, name := range request.Names {
		if record, ok := f.cache.Get(name); ok {
			answer.Records = append(answer.Records, record)
		}
	}
	return answer, nil
}
