package node

import (
	"flag"
	"fmt"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// crashWays selects the variants to compare. docs/design/quarantine.md has their results. A run takes four minutes
// at 60 boxes, and one minute for each row at 515.
var crashWays = flag.String("crash-ways", "", "compare ways to remember requests under which upstreams crash: those whose row matches, by boxes, load and way")

// comparedSizes are the sizes of fleets that variants are compared with: a small one, a grown one, and the size
// designed for.
var comparedSizes = []smallFleetSize{{boxes: 7, halls: 4, upstreams: 18}, {boxes: 60, halls: 4, upstreams: 90}, {boxes: 515, halls: 7, upstreams: 600}}

// crashVariant is one way to remember requests under which upstreams crash.
type crashVariant struct {
	name     string
	policy   quarantine.Policy
	isolated bool
}

// crashLoad is what callers send, and what happens to upstreams, during crashLoadTime.
type crashLoad struct {
	name string
	// replicas is the number of upstreams; 0 means the number of the fleet's size.
	replicas int
	play     func(*crashFleet)
}

const crashLoadTime = 24 * time.Second

// neverHold returns a policy that holds no request.
func neverHold(policy quarantine.Policy) quarantine.Policy {
	policy.PauseAfter, policy.HoldAfter = 1000, 1000
	return policy
}

func crashVariants() []crashVariant {
	base := quarantine.DefaultPolicy
	with := func(pauseAfter int, pause time.Duration, holdAfter int) quarantine.Policy {
		policy := base
		policy.PauseAfter, policy.Pause, policy.HoldAfter = pauseAfter, pause, holdAfter
		return policy
	}
	return []crashVariant{
		{name: "nothing is remembered", policy: neverHold(base)},
		{name: "three, each box alone", policy: with(3, 0, 3), isolated: true},
		{name: "one", policy: with(1, 0, 1)},
		{name: "two", policy: with(2, 0, 2)},
		{name: "three", policy: with(3, 0, 3)},
		{name: "three, 0.3 s after the first", policy: with(1, 300*time.Millisecond, 3)},
		{name: "three, 1 s after the second", policy: with(2, time.Second, 3)},
		{name: "three, 5 s after the second", policy: with(2, 5*time.Second, 3)},
		{name: "three, 30 s after the second", policy: with(2, 30*time.Second, 3)},
	}
}

func crashLoads() []crashLoad {
	repeat := func(c *crashFleet, body string, every time.Duration) {
		c.sendRepeatedly(body, int(crashLoadTime/every), every, c.randomBox)
	}
	return []crashLoad{
		{name: "one, each 2 s", play: func(c *crashFleet) { repeat(c, crashingPrefix, 2*time.Second) }},
		{name: "one, each 50 ms", play: func(c *crashFleet) { repeat(c, crashingPrefix, 50*time.Millisecond) }},
		{name: "one, each 2 s, four replicas", replicas: 4, play: func(c *crashFleet) { repeat(c, crashingPrefix, 2*time.Second) }},
		{name: "eight, each 2 s", play: func(c *crashFleet) {
			for n := range 8 {
				c.callers.Go(func() { repeat(c, fmt.Sprint(crashingPrefix, " ", n), 2*time.Second) })
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
		for _, size := range comparedSizes {
			for _, load := range crashLoads() {
				for _, variant := range crashVariants() {
					if chosen.MatchString(fmt.Sprintf("%d, %s, %s", size.boxes, load.name, variant.name)) {
						compareCrashVariant(size, load, variant)
					}
				}
			}
		}
	})
})

// compareCrashVariant runs one load with one variant and prints a row of the table.
func compareCrashVariant(size smallFleetSize, load crashLoad, variant crashVariant) {
	if load.replicas > 0 {
		size.upstreams = load.replicas
	}
	before := func(c *crashFleet) { c.policy, c.isolated = variant.policy, variant.isolated }
	withCrashFleet(size, before, func(c *crashFleet) {
		c.sendHarmless(min(600, 12*size.boxes), crashLoadTime, c.randomBox)
		load.play(c)
		c.callers.Wait()
		fmt.Printf("| %d | %s | %s | %d | %d | %d | %d | %d |\n", size.boxes, load.name, variant.name, c.crashCount(), c.sentTooLate(),
			c.outcomes[broken], c.outcomes[refused+" at its return"]+c.outcomes[held+" at its return"], c.outcomes[served+" at its return"])
	})
}
