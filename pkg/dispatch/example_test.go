package dispatch_test

import (
	"fmt"
	"time"

	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

func ExampleChooser() {
	tracker := dispatch.NewLoadTracker()
	chooser := &dispatch.Chooser{Loads: tracker, Hall: "z"}
	// Peers have 8 requests in flight at e0, which is its number of slots.
	tracker.SetRemoteLoads(map[string]dispatch.Load{"e0": {Running: 8}}, time.Now())
	parts := []dispatch.PromptPart{{ID: "system", Tokens: 3000}, {ID: "question", Tokens: 100}}
	request := dispatch.Requirements{
		Service: "s", Model: "writer", CacheTokens: 200_000,
		Blocks: dispatch.PrefixBlocks("writer", "", parts), PromptTokens: 3100, AnswerTokens: 50,
	}
	choice, _ := chooser.Choose(request, engines(2))
	fmt.Println(choice.Upstream.ID, choice.Uncached)
	ticket := tracker.Begin(choice, request)
	ticket.Started()
	ticket.End()
	choice, _ = chooser.Choose(request, engines(2))
	fmt.Println(choice.Upstream.ID, choice.Uncached)
	// Output:
	// e1 3100
	// e1 1
}
