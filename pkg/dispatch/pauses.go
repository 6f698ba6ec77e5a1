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
//
// Measured at 60 boxes before 113 engines, a third of them slower: 12% of the short streams paused for too long, nearly all
// at those, and 92 in 100 of them while a faster engine answered for the same model. In a replay of 10 engines, three of
// them slower ("prompts of many boxes at few engines"), the part of prompts that have streams pause too long: 12 to 13%
// before, 4% now, of engines that read half of their time; 19 to 21%, 7 to 8%, of those that read two thirds. The first
// token comes as soon as before; where all engines are slow it comes later (0.33 s for 0.30 s, 0.46 s for 0.34 s).
const (
	// mostPauseShare is the share at first, and at most. The rest is for short prompts, which nobody reserves time for.
	mostPauseShare = 0.9
	// leastPauseShare bounds it: where all engines are slow, less only has prompts wait. Measured in a replay of 60 boxes
	// before 10 such engines that read half of their time, as the part of prompts with too long a pause: 6 to 8% at 0.55,
	// 8 to 10% at 0.5.
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
