package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"ospreymoor.example/ospreymoor/pkg/quarantine"
)

// partWays selects the variants to compare. docs/design/quarantine.md has their results.
var partWays = flag.String("part-ways", "", "compare ways to find parts of prompts under which upstreams crash: those whose row matches, by boxes, load and way")

// partVariant is one way to find them.
type partVariant struct {
	name     string
	policy   quarantine.PartPolicy
	isolated bool
}

func partVariants() []partVariant {
	with := func(holdAfter, holdAfterRecent int) quarantine.PartPolicy {
		policy := quarantine.DefaultPartPolicy
		policy.HoldAfter, policy.HoldAfterRecent = holdAfter, holdAfterRecent
		return policy
	}
	return []partVariant{
		{name: "whole requests alone", policy: with(1000, 1000)},
		{name: "two crashes", policy: with(2, 2)},
		{name: "three crashes", policy: with(3, 3)},
		{name: "three, each box alone", policy: with(3, 5), isolated: true},
		{name: "three, five if answered within a second", policy: with(3, 5)},
		{name: "five crashes", policy: with(5, 5)},
	}
}

var partLoads = []struct {
	name string
	load func(sound, crashing int) promptLoad
}{
	{"one part", crashingPartLoad},
	{"two parts", twoPartsLoad},
	{"sound before", soundBeforeLoad},
	{"others crash as well", otherCrashesLoad},
	{"only others crash", func(sound, crashing int) promptLoad {
		load := otherCrashesLoad(sound, crashing)
		load.crashingParts = nil
		return load
	}},
	{"only others crash, rare parts, callers come back", func(sound, _ int) promptLoad {
		load := otherCrashesLoad(sound, 1)
		load.crashingParts, load.otherCrashesEvery, load.returns = nil, 150*time.Millisecond, true
		load.crashing = func(random *rand.Rand) []string { return load.sound(random) }
		load.sound = func(random *rand.Rand) []string { return []string{oneOf(random, "a", 40), oneOf(random, "b", 400)} }
		return load
	}},
}

var _ = Describe("ways to find parts of prompts under which upstreams crash", func() {
	It("are compared by what crashes and which sound requests are held", func() {
		if *partWays == "" {
			Skip("by hand: -part-ways=. for all")
		}
		chosen := regexp.MustCompile(*partWays)
		for _, size := range []smallFleetSize{{boxes: 7, halls: 4, upstreams: 18}, {boxes: 60, halls: 4, upstreams: 90}, {boxes: 300, halls: 6, upstreams: 600}} {
			for _, load := range partLoads {
				for _, variant := range partVariants() {
					if chosen.MatchString(fmt.Sprintf("%d, %s, %s", size.boxes, load.name, variant.name)) {
						comparePartVariant(size, load.name, load.load(min(300, 9*size.boxes), min(30, 4+size.boxes/10)), variant)
					}
				}
			}
		}
	})
})

// comparePartVariant runs one load with one variant and prints a row of the table.
func comparePartVariant(size smallFleetSize, name string, load promptLoad, variant partVariant) {
	before := func(c *crashFleet) {
		c.tune = func(config *Config) { config.CrashParts = variant.policy }
		if variant.isolated {
			c.tuneNode = func(n *Node) { n.Gateway.CrashParts = quarantine.NewPartRegister(variant.policy, "") }
		}
	}
	withCrashFleet(size, before, func(c *crashFleet) {
		result := load.run(c)
		crashes, late, held, unbegun := 0, 0, 0, 0
		for part := range result.crashes {
			crashes, late = crashes+result.crashes[part], late+result.late[part]
		}
		for _, outcome := range result.outcomes {
			if outcome.held {
				held++
			}
			if !outcome.begun {
				unbegun++
			}
		}
		fmt.Printf("| %d | %s | %s | %d | %d | %d | %d | %d |\n", size.boxes, name, variant.name, crashes, late, held, unbegun, len(result.outcomes))
	})
}
