package node

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// promptLoad is a load of requests with prompts, some of which have a part that crashes upstreams. No two prompts are
// equal.
type promptLoad struct {
	// soundPerSecond and crashingPerSecond are rates over the whole fleet.
	soundPerSecond, crashingPerSecond int
	// sound and crashing return the parts of a request's prompt except the last, which is its own.
	sound, crashing func(random *rand.Rand) []string
	// crashingParts are the parts that crash upstreams.
	crashingParts []string
	// soundBefore returns the parts of a sound request before the first crashing one; nil is the same as sound.
	soundBefore func(random *rand.Rand) []string
	// eventFirst means that an upstream writes an event before it crashes, and otherCrashes that others crash for other
	// causes.
	eventFirst, otherCrashes bool
	// otherCrashesEvery is the time between two of these crashes, and returns means that callers of sound requests come
	// back once after a refusal.
	otherCrashesEvery time.Duration
	returns           bool
	// before is how long only sound requests are sent, and during how long requests of both kinds are.
	before, during time.Duration
}

// firstPart begins each prompt of a promptLoad.
const firstPart = "a0"

// oneOf returns a random one of some parts.
func oneOf(random *rand.Rand, prefix string, count int) string {
	return fmt.Sprint(prefix, random.IntN(count))
}

// crashingPartLoad is a load whose crashing part follows the first one, which sound requests share.
func crashingPartLoad(soundPerSecond, crashingPerSecond int) promptLoad {
	return promptLoad{
		soundPerSecond: soundPerSecond, crashingPerSecond: crashingPerSecond, crashingParts: []string{"e0"},
		sound:    func(random *rand.Rand) []string { return []string{firstPart, oneOf(random, "b", 6)} },
		crashing: func(*rand.Rand) []string { return []string{firstPart, "e0"} },
		before:   5 * time.Second, during: 24 * time.Second,
	}
}

// The loads below differ from crashingPartLoad in where the crashing part stands, how many there are, whether sound
// requests had it before, and what else crashes.

func firstOfPromptLoad(sound, crashing int) promptLoad {
	load := crashingPartLoad(sound, crashing)
	load.crashing = func(random *rand.Rand) []string { return []string{"e0", oneOf(random, "b", 6)} }
	return load
}

func nextToLastLoad(sound, crashing int) promptLoad {
	load := crashingPartLoad(sound, crashing)
	load.crashing = func(random *rand.Rand) []string {
		return []string{firstPart, oneOf(random, "b", 6), oneOf(random, "f", 3), "e0"}
	}
	return load
}

func twoPartsLoad(sound, crashing int) promptLoad {
	load := crashingPartLoad(sound, crashing)
	load.crashingParts = []string{"e0", "e1"}
	load.crashing = func(random *rand.Rand) []string { return []string{firstPart, oneOf(random, "e", 2)} }
	return load
}

// soundBeforeLoad has a crashing part that a sixth of the sound requests had until then.
func soundBeforeLoad(sound, crashing int) promptLoad {
	load := crashingPartLoad(sound, crashing)
	load.crashingParts = []string{"b0"}
	load.crashing = func(*rand.Rand) []string { return []string{firstPart, "b0"} }
	load.sound = func(random *rand.Rand) []string { return []string{firstPart, fmt.Sprint("b", 1+random.IntN(5))} }
	load.soundBefore = func(random *rand.Rand) []string { return []string{firstPart, oneOf(random, "b", 6)} }
	return load
}

func eventFirstLoad(sound, crashing int) promptLoad {
	load := crashingPartLoad(sound, crashing)
	load.eventFirst = true
	return load
}

// otherCrashesLoad has an upstream crash each second, and a quarter of all at once each six seconds, for other causes.
func otherCrashesLoad(sound, crashing int) promptLoad {
	load := crashingPartLoad(sound, crashing)
	load.otherCrashes, load.otherCrashesEvery = true, time.Second
	return load
}

// promptOutcome is the outcome of a sound request at its caller's first attempt.
type promptOutcome struct {
	at          time.Time
	begun, held bool
}

// promptResult is the result of a promptLoad.
type promptResult struct {
	begunAt  time.Time
	outcomes []promptOutcome
	// crashes holds the crashes by part, and late the requests with the part that reached an upstream later than
	// propagationTime after its fifth crash.
	crashes, late map[string]int
	// settled is 2 * propagationTime after the fifth crash of a part, or after the last one if there were fewer.
	settled time.Time
}

// run sends the load to random boxes.
func (l promptLoad) run(c *crashFleet) promptResult {
	c.eventFirst = l.eventFirst
	result := promptResult{begunAt: time.Now().Add(l.before), crashes: map[string]int{}, late: map[string]int{}}
	random := rand.New(rand.NewPCG(5, 6))
	c.callers.Go(func() {
		time.Sleep(l.before)
		c.mu.Lock()
		for _, part := range l.crashingParts {
			c.crashingParts[part] = true
		}
		c.mu.Unlock()
		random := rand.New(rand.NewPCG(7, 8))
		for n := range int(l.during.Seconds()) * l.crashingPerSecond {
			parts, box := append(l.crashing(random), fmt.Sprint("d", n)), c.randomBox(random)
			c.callers.Go(func() { c.sendRequest(box, fmt.Sprint("crashing ", n), fmt.Sprint("prompt ", n), parts...) })
			time.Sleep(time.Second / time.Duration(l.crashingPerSecond))
		}
	})
	if l.otherCrashes {
		c.callers.Go(func() { c.crashOthers(l.before+l.during, l.otherCrashesEvery) })
	}
	for n := range int((l.before + l.during).Seconds()) * l.soundPerSecond {
		choose := l.sound
		if l.soundBefore != nil && time.Now().Add(longestAnswer).Before(result.begunAt) {
			choose = l.soundBefore
		}
		parts, box, at := append(choose(random), fmt.Sprint("c", n)), c.randomBox(random), time.Now()
		c.callers.Go(func() {
			outcome, wait := c.sendRequest(box, fmt.Sprint("sound ", n), fmt.Sprint("sound prompt ", n), parts...)
			if l.returns && outcome == refused {
				time.Sleep(min(wait, time.Second))
				outcome, _ = c.sendRequest((box+1)%c.boxes, fmt.Sprint("sound again ", n), fmt.Sprint("sound prompt ", n), parts...)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			result.outcomes = append(result.outcomes, promptOutcome{at: at, begun: outcome == served || outcome == broken, held: outcome == held})
		})
		time.Sleep(time.Second / time.Duration(l.soundPerSecond))
	}
	c.callers.Wait()
	for _, part := range l.crashingParts {
		result.count(c, part)
	}
	return result
}

// longestAnswer is longer than an answer takes with its retries.
const longestAnswer = 3 * time.Second

// crashOthers has an upstream crash at an interval, and each sixth time a quarter of all at once.
func (c *crashFleet) crashOthers(span, every time.Duration) {
	ids := slices.Sorted(maps.Keys(c.upstreams))
	for n := range int(span / every) {
		if n%6 == 5 {
			c.crashTogether(4)
		} else {
			c.crash(ids[n*7%len(ids)], "")
		}
		time.Sleep(every)
	}
}

// count evaluates the crashes under one part.
func (r *promptResult) count(c *crashFleet, part string) {
	crashes := c.crashedUnder[part]
	r.crashes[part] = len(crashes)
	if len(crashes) == 0 {
		return
	}
	fifth := crashes[min(4, len(crashes)-1)]
	if settled := fifth.Add(2 * propagationTime); settled.After(r.settled) {
		r.settled = settled
	}
	if len(crashes) < 5 {
		return
	}
	for _, at := range c.received[part] {
		if at.After(fifth.Add(propagationTime)) {
			r.late[part]++
		}
	}
}

// begun returns the share of sound requests that began at the first attempt, before the first request with a crashing
// part and once it is settled which part that is.
func (r *promptResult) begun() (before, after float64) {
	var sent, begun [2]int
	for _, outcome := range r.outcomes {
		period := 0
		switch {
		case outcome.at.After(r.settled):
			period = 1
		case !outcome.at.Before(r.begunAt):
			continue
		}
		sent[period]++
		if outcome.begun {
			begun[period]++
		}
	}
	return float64(begun[0]) / float64(max(1, sent[0])), float64(begun[1]) / float64(max(1, sent[1]))
}

// These specs guard against a part of a prompt that crashes each engine that begins to write an answer on it. No two
// requests with it were alike, so that each box took each of them for a new one: 68 engines crashed within 34 s.
var _ = Describe("requests with a part of the prompt under which upstreams crash", func() {
	run := func(size smallFleetSize, load promptLoad) {
		if raceDetector && size.boxes > raceSize.boxes {
			size = raceSize
		}
		withCrashFleet(size, func(*crashFleet) {}, func(c *crashFleet) {
			result := load.run(c)
			before, after := result.begun()
			GinkgoWriter.Printf("%d boxes: crashes %v, late %v, sound requests begun %.3f, then %.3f\n", size.boxes, result.crashes, result.late, before, after)
			for _, part := range load.crashingParts {
				Expect(result.crashes[part]).To(BeNumerically(">=", 1))
				Expect(result.late[part]).To(BeNumerically("<=", 3))
			}
			Expect(after).To(BeNumerically(">=", before/2))
		})
	}
	seven := smallFleetSize{boxes: 7, halls: 4, upstreams: 18}

	DescribeTable("reach no more than three upstreams once the part is known, while sound ones with the same first part are served", run,
		Entry("at 7 boxes", seven, crashingPartLoad(60, 4)),
		Entry("at 60 boxes", smallFleetSize{boxes: 60, halls: 4, upstreams: 90}, crashingPartLoad(120, 8)),
		Entry("if it is the first part", seven, firstOfPromptLoad(60, 4)),
		Entry("if it is the last but one", seven, nextToLastLoad(60, 4)),
		Entry("if there are two such parts at once", seven, twoPartsLoad(60, 8)),
		Entry("if it was sound before", seven, soundBeforeLoad(60, 4)),
		Entry("if upstreams write an event before they crash", seven, eventFirstLoad(60, 4)),
		Entry("if upstreams crash for other causes as well", seven, otherCrashesLoad(60, 4)),
		Entry("if few requests have it", seven, crashingPartLoad(60, 1)),
		Entry("if few sound requests are sent", seven, crashingPartLoad(4, 4)),
	)

	// sendCrashing sends requests with a part that crashes upstreams, one each 250 ms.
	sendCrashing := func(c *crashFleet, name string, count int, boxes func(*rand.Rand) int) {
		c.crashingParts["e0"] = true
		random := rand.New(rand.NewPCG(7, 8))
		for n := range count {
			box := boxes(random)
			c.callers.Go(func() {
				c.sendRequest(box, fmt.Sprint(name, n), fmt.Sprint(name, n), firstPart, "e0", fmt.Sprint(name, n))
			})
			time.Sleep(250 * time.Millisecond)
		}
	}

	It("are still held after all boxes have restarted", func() {
		withCrashFleet(seven, func(*crashFleet) {}, func(c *crashFleet) {
			sendCrashing(c, "before ", 20, c.randomBox)
			crashes := c.crashCount()
			c.restartAll()
			time.Sleep(propagationTime)
			sendCrashing(c, "after ", 20, c.randomBox)
			Expect(c.crashCount()).To(Equal(crashes))
		})
	})

	It("are held in a hall soon after a network partition that hid the crashes from it", func() {
		withCrashFleet(seven, func(*crashFleet) {}, func(c *crashFleet) {
			c.setPartition("z3", true)
			time.Sleep(propagationTime)
			sendCrashing(c, "before ", 20, c.randomBoxIn("z3", false))
			crashes := c.crashCount()
			c.setPartition("z3", false)
			time.Sleep(propagationTime)
			sendCrashing(c, "after ", 20, c.randomBoxIn("z3", true))
			Expect(c.crashCount()).To(Equal(crashes))
		})
	})
})
