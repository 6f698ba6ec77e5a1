package node

import (
	"flag"
	"fmt"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// crashWays has the ways compared that docs/design/quarantine.md has figures of: four minutes at 60 boxes, one for each row at 515.
var crashWays = flag.String("crash-ways", "", "compare ways to remember requests under which upstreams crash: those whose row matches, by boxes, load and way")

// waySizes are the fleets that ways are compared at: a small one, a grown one, and the size designed for.
var waySizes = []smallFleetSize{{boxes: 7, halls: 4, upstreams: 18}, {boxes: 60, halls: 4, upstreams: 90}, {boxes: 515, halls: 7, upstreams: 600}}

// crashWay is one way to remember them.
type crashWay struct {
	name   string
	policy quarantine.Policy
	alone  bool
}

// crashLoad is what callers ask for, and what happens to upstreams, over crashLoadTime.
type crashLoad struct {
	name string
	// replicas is how many upstreams there are; 0 is as many as the size has.
	replicas int
	play     func(*crashFleet)
}

const crashLoadTime = 24 * time.Second

func never(policy quarantine.Policy) quarantine.Policy {
	policy.PauseAfter, policy.HoldAfter = 1000, 1000
	return policy
}

func waysOfCrashes() []crashWay {
	kept := quarantine.DefaultPolicy
	with := func(pauseAfter int, pause time.Duration, holdAfter int) quarantine.Policy {
		policy := kept
		policy.PauseAfter, policy.Pause, policy.HoldAfter = pauseAfter, pause, holdAfter
		return policy
	}
	return []crashWay{
		{name: "nothing is remembered", policy: never(kept)},
		{name: "three, each box alone", policy: with(3, 0, 3), alone: true},
		{name: "one", policy: with(1, 0, 1)},
		{name: "two", policy: with(2, 0, 2)},
		{name: "three", policy: with(3, 0, 3)},
		{name: "three, 0.3 s after the first", policy: with(1, 300*time.Millisecond, 3)},
		{name: "three, 1 s after the second", policy: with(2, time.Second, 3)},
		{name: "three, 5 s after the second", policy: with(2, 5*time.Second, 3)},
		{name: "three, 30 s after the second", policy: with(2, 30*time.Second, 3)},
	}
}

func loadsOfCrashes() []crashLoad {
	again := func(c *crashFleet, body string, every time.Duration) {
		c.askAgain(body, int(crashLoadTime/every), every, c.anyBox)
	}
	return []crashLoad{
		{name: "one, each 2 s", play: func(c *crashFleet) { again(c, guilty, 2*time.Second) }},
		{name: "one, each 50 ms", play: func(c *crashFleet) { again(c, guilty, 50*time.Millisecond) }},
		{name: "one, each 2 s, four replicas", replicas: 4, play: func(c *crashFleet) { again(c, guilty, 2*time.Second) }},
		{name: "eight, each 2 s", play: func(c *crashFleet) {
			for n := range 8 {
				c.callers.Go(func() { again(c, fmt.Sprint(guilty, " ", n), 2*time.Second) })
				time.Sleep(250 * time.Millisecond)
			}
			time.Sleep(crashLoadTime - 2*time.Second)
		}},
		{name: "none, a third crash thrice", play: func(c *crashFleet) {
			for range 3 {
				time.Sleep(crashLoadTime / 4)
				c.crashTogether(3)
			}
			time.Sleep(crashLoadTime / 4)
		}},
	}
}

var _ = Describe("ways to remember requests under which upstreams crash", func() {
	It("are compared by what crashes and what is not served", func() {
		if *crashWays == "" {
			Skip("by hand: -crash-ways=. for all")
		}
		chosen := regexp.MustCompile(*crashWays)
		for _, size := range waySizes {
			for _, load := range loadsOfCrashes() {
				for _, way := range waysOfCrashes() {
					if chosen.MatchString(fmt.Sprintf("%d, %s, %s", size.boxes, load.name, way.name)) {
						compareWay(size, load, way)
					}
				}
			}
		}
	})
})

// compareWay plays one load with one way and prints a row of the table.
func compareWay(size smallFleetSize, load crashLoad, way crashWay) {
	if load.replicas > 0 {
		size.upstreams = load.replicas
	}
	before := func(c *crashFleet) { c.policy, c.alone = way.policy, way.alone }
	withCrashFleet(size, before, func(c *crashFleet) {
		c.askInnocents(min(600, 12*size.boxes), crashLoadTime, c.anyBox)
		load.play(c)
		c.callers.Wait()
		fmt.Printf("| %d | %s | %s | %d | %d | %d | %d | %d |\n", size.boxes, load.name, way.name, c.crashCount(), c.sentTooLate(),
			c.outcomes[broken], c.outcomes[refused+" at its return"]+c.outcomes[held+" at its return"], c.outcomes[served+" at its return"])
	})
}
