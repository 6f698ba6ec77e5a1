package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestDispatch(t *testing.T) { spectest.Run(t, "Dispatch") }

func engines(n int) []*fleet.State {
	directory := fleet.New()
	var list []fleet.Upstream
	for i := range n {
		list = append(list, fleet.Upstream{ID: fmt.Sprint("e", i), Service: "s", Hall: "z", Slots: 8, Revision: 1})
	}
	directory.SetList(1, list, time.Time{})
	return directory.OfService("s")
}

func need(own string) dispatch.Requirements {
	parts := []dispatch.PromptPart{{ID: "a", Tokens: 3000}, {ID: "b", Tokens: 3000}, {ID: own, Tokens: 500}}
	return dispatch.Requirements{
		Service: "s", Model: "m", Blocks: dispatch.PrefixBlocks("m", "", parts), PromptTokens: 6500, AnswerTokens: 50, CacheTokens: 200_000,
	}
}
