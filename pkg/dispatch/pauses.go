package dispatch

// This file learns at which engines a long prompt has the streams beside it pause for too long.
//
// An engine reads prompts in pieces between the tokens of its streams, and so much within an event at most. At a fast engine
// that is less than the pause that a route allows, however many prompts wait; at one that is a third slower a single long
// prompt is more. Nobody says which is which. So each engine has a share of the allowed pause, which the streams there move:
// one that pauses for too long takes off a part, the others give it back by and by. Prompts that take longer than the share
// go to other engines that hold what they need.
//
// One box of many sees a stream of an engine once in many seconds: boxes tell each other.
// Where all engines are slow, first tokens come later so.
const (
	// mostPauseShare is the share at first, and at most. The rest is for short prompts, which nobody reserves time for.
	mostPauseShare = 0.9
	// leastPauseShare bounds it: where all engines are slow, less only has prompts wait.
	leastPauseShare = 0.55
	// pauseShareGain is what a stream in time gives back, and pauseShareLoss the part that one with too long a pause takes.
	// From the least to the most takes 350 streams.
	pauseShareGain = 0.001
	pauseShareLoss = 0.3
)

// pauseShare is the part of the longest pause in time for which an engine may read prompts, and make the event's tokens.
type pauseShare float64

// streamInTime takes a stream that did not pause for too long.
func (s *pauseShare) streamInTime() { *s = min(mostPauseShare, *s+pauseShareGain) }

// streamPaused takes a stream that paused for too long.
func (s *pauseShare) streamPaused() { *s = max(leastPauseShare, *s*(1-pauseShareLoss)) }

// RecordPause counts a stream of an engine that paused for longer than its target, for this box and its peers.
func (t *LoadTracker) RecordPause(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingPaused[id]++
	t.record(id).pauseShare.streamPaused()
}
