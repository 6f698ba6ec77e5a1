package dispatch

import (
	"slices"
	"time"
)

// This file learns how fast engines prefill the prompts of each model.
//
// The time to a first token includes the prompts of other boxes that the engine prefilled before, which no report
// tells in time. An average of these times thus learns how busy the engines were: a model that is read seven times
// faster than others looked nearly as slow as they, and engines refused prompts for it that they had time for. The
// shortest of several times are those at engines that prefilled nothing else.

const (
	// paceSamples is the number of latest prompts that a model's pace is learned from, and paceRank the rank,
	// by pace, of the one that it is taken from.
	paceSamples = 16
	paceRank    = paceSamples / 4
	// minPaceSample is the shortest prefill time, at pace 1, of a prompt that the pace is learned from. Shorter
	// prompts tell what a first token takes beside prefill.
	minPaceSample = 25 * time.Millisecond
	// minPace and maxPace bound the pace.
	minPace = 0.05
	maxPace = 1.5
)

// pace is how long a model's prompts take to prefill, as a multiple of the time of the predictions. The zero pace
// is 1: nothing was observed.
type pace struct {
	// samples holds the paces of the latest prompts, oldest first.
	samples []float64
	current float64
}

// add adds the pace of one prompt.
func (p *pace) add(sample float64) {
	if p.samples == nil {
		p.samples = []float64{1}
	}
	p.samples = append(p.samples, min(maxPace, max(minPace, sample)))
	if len(p.samples) > paceSamples {
		p.samples = p.samples[1:]
	}
	sorted := slices.Sorted(slices.Values(p.samples))
	p.current = sorted[len(sorted)*paceRank/paceSamples]
}

// value returns the pace.
func (p *pace) value() float64 {
	if p == nil || p.current == 0 {
		return 1
	}
	return p.current
}

// learnPace adds the time to the first token of a prompt whose uncached part takes prefill at pace 1, less
// the time in which the engine is known to have prefilled others. The caller holds the lock.
func (t *LoadTracker) learnPace(model string, prefill, firstToken time.Duration) {
	if prefill < minPaceSample {
		rest := max(0, firstToken-scale(prefill, t.modelPace(model)))
		if !t.overheadKnown || rest < t.overhead {
			t.overhead, t.overheadKnown = rest, true
		}
		return
	}
	learned := t.paces[model]
	if learned == nil {
		learned = &pace{}
		t.paces[model] = learned
	}
	learned.add(float64(firstToken-t.overhead) / float64(prefill))
}

// modelPace returns the pace of a model. The caller holds the lock.
func (t *LoadTracker) modelPace(model string) float64 { return t.paces[model].value() }
