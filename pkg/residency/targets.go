package residency

import (
	"cmp"
	"slices"
	"strings"
)

// maxTargets is the number of engines considered for a move. In a larger fleet these are the engines of each
// hall with the least work: a replica brings more benefit there, and the cost of a plan does not grow with
// the fleet.
const maxTargets = 256

// sortTargets sorts the engines that may be given moves by hall and work, if the fleet has more engines than
// are considered.
func (p *planner) sortTargets() {
	if len(p.engines) <= p.targetCount() {
		return
	}
	halls := map[string]int{}
	for _, e := range p.engines {
		if !e.Usable || !e.serves() {
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

// targets returns the engines to consider for the next move.
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
