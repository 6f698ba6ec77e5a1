package dispatch

// This file learns at which engines a long prompt makes the running streams pause for too long.
//
// An engine prefills prompts in chunks between the tokens of its streams, and only a limited amount per
// event. At a fast engine this amount takes less than the gap target of a route, however many prompts wait.
// At an engine that is a third slower, a single long prompt exceeds the target. No report tells which engines
// are slow, so each engine has a share of the gap target that follows the streams observed there. A stream
// that pauses for too long reduces the share, and streams within their target slowly restore it. A prompt
// that takes longer than the share goes to another engine that has what the request needs.
//
// One of many boxes sees a stream of a given engine only once in many seconds, so boxes share their
// observations. Where all engines are slow, this delays first tokens.
const (
	// maxPauseShare is the initial and the largest share. The rest is left for short prompts, for which
	// no time is reserved.
	maxPauseShare = 0.9
	// minPauseShare is the smallest share. Where all engines are slow, a smaller one would only delay prompts.
	minPauseShare = 0.55
	// pauseShareGain is added for each stream within its target. pauseShareLoss is the fraction by which one
	// that paused for too long reduces the share. Growing from minPauseShare to maxPauseShare takes 350 streams.
	pauseShareGain = 0.001
	pauseShareLoss = 0.3
)

// pauseShare is the fraction of the gap target that an engine may spend on prefilling prompts and decoding
// the tokens of one event.
type pauseShare float64

// increase raises the share after a stream that did not pause for too long.
func (s *pauseShare) increase() { *s = min(maxPauseShare, *s+pauseShareGain) }

// decrease lowers the share after a stream that paused for too long.
func (s *pauseShare) decrease() { *s = max(minPauseShare, *s*(1-pauseShareLoss)) }

// RecordPause counts a stream of an engine that paused for longer than its gap target, for this box and for
// its peers.
func (t *LoadTracker) RecordPause(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingPauses[id]++
	t.record(id).pauseShare.decrease()
}
