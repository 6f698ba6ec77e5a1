package residency

import (
	"cmp"
	"slices"
	"strings"
)

// maxTargets is how many engines a move is tried on. A larger fleet tries those of each hall that have the least work: a replica gains the
// more there, and a plan's cost no longer grows with the fleet.
const maxTargets = 256

// orderTargets orders the engines that may be given moves, where there are more of them than are tried.
func (p *planner) orderTargets() {
	if len(p.engines) <= p.targetCount() {
		return
	}
	halls := map[string]int{}
	for _, e := range p.engines {
		if !e.Usable || !e.counts() {
			continue
		}
		at, known := halls[e.Hall]
		if !known {
			at = len(p.byHall)
			halls[e.Hall] = at
			p.byHall = append(p.byHall, nil)
		}
		p.byHall[at] = append(p.byHall[at], e)
	}
	for _, list := range p.byHall {
		slices.SortFunc(list, func(a, b *planEngine) int { return cmp.Or(cmp.Compare(a.work, b.work), strings.Compare(a.ID, b.ID)) })
	}
}

func (p *planner) targetCount() int { return cmp.Or(p.in.Targets, maxTargets) }

// targets lists the engines on which the next move is tried.
func (p *planner) targets() []*planEngine {
	if len(p.engines) <= p.targetCount() {
		return p.engines
	}
	list := make([]*planEngine, 0, p.targetCount())
	each := p.targetCount() / max(1, len(p.byHall))
	for _, hall := range p.byHall {
		taken := 0
		for _, e := range hall {
			if taken == each {
				break
			}
			if !e.moved {
				list = append(list, e)
				taken++
			}
		}
	}
	return list
}
