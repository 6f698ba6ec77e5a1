package box

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	ospreymoorv1 "ospreymoor.example/ospreymoor/internal/gen/ospreymoor/v1"
	"ospreymoor.example/ospreymoor/internal/standin"
)

// attempt is one attempt of a caller and its result.
type attempt struct {
	prompt     string
	repeatable bool
	text       string
	outcome    ospreymoorv1.Outcome
	failed     bool
	// startsAtAnswer is how often the prompt had been started when the answer came.
	startsAtAnswer int
	// alone is set if no other attempt of the same request was running.
	alone bool
	// begun and ended are when the attempt was sent and answered. failure is the error that it ended with.
	begun, ended time.Time
	failure      string
	box          string
}

// String describes an attempt in one line.
func (a attempt) String() string {
	return fmt.Sprintf("%s..%s at %s, alone %v, started %d times then: %s", a.begun.Format("05.000"), a.ended.Format("05.000"), a.box, a.alone, a.startsAtAnswer, a.failure)
}

// violations checks a history against what the engines have recorded at the end. It looks for answers that are not
// whole or not the request's own, for requests that ran twice though they may not be repeated, and for false
// 'not run' outcomes.
func violations(t *testFleet, history []attempt) []string {
	var found []string
	allNotRun := map[string]bool{}
	for _, a := range history {
		notRun := a.outcome == ospreymoorv1.Outcome_OUTCOME_NOT_RUN
		if old, seen := allNotRun[a.prompt]; !seen || old {
			allNotRun[a.prompt] = notRun
		}
		starts := t.startsOf(a.prompt)
		switch {
		case !a.failed && a.text != wholeAnswer(a.prompt):
			found = append(found, fmt.Sprintf("%s: answer %q is not whole or not its own", a.prompt, a.text))
		case !a.repeatable && starts > 1:
			found = append(found, fmt.Sprintf("%s: may not be repeated, started %d times", a.prompt, starts))
		case notRun && a.alone && a.startsAtAnswer > 0:
			found = append(found, fmt.Sprintf("%s: reported as not run, but had been started", a.prompt))
		}
	}
	for _, a := range history {
		if slices.ContainsFunc(found, func(f string) bool { return strings.HasPrefix(f, a.prompt+":") }) {
			found = append(found, a.prompt+" attempt: "+a.String())
		}
	}
	for prompt, notRun := range allNotRun {
		if notRun && t.startsOf(prompt) > 0 {
			found = append(found, fmt.Sprintf("%s: reported only as not run, but was started", prompt))
		}
	}
	return found
}

const answerPieces = 12

func wholeAnswer(prompt string) string {
	return strings.Join(standin.Answer("acme/writer@a", "", prompt, answerPieces), "")
}

// callUntilAnswered sends one request until it has an answer, keeping its request key as callers must.
func callUntilAnswered(t *testFleet, boxes *boxPicker, random *rand.Rand, prompt string, history *eventLog[attempt]) {
	request := &ospreymoorv1.GenerateRequest{Model: "writer", Prompt: prompt, MaxTokens: answerPieces}
	once := random.IntN(3) > 0
	if once {
		request.NotRepeatable, request.RequestKey = true, newKey()
	}
	for try := range 8 {
		request.FirstAttempt = try == 0
		if once && random.IntN(4) == 0 {
			callConcurrently(t, boxes, request, history)
			request.FirstAttempt = false
		}
		if tryCall(t, boxes, request, true, history) {
			return
		}
		if !once {
			request.Prompt = fmt.Sprintf("%s.%d", prompt, try+1) // Each attempt is counted on its own.
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}

// callConcurrently sends the same request to two boxes at once.
func callConcurrently(t *testFleet, boxes *boxPicker, request *ospreymoorv1.GenerateRequest, history *eventLog[attempt]) {
	request.FirstAttempt = false
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() { tryCall(t, boxes, request, false, history) })
	}
	both.Wait()
}

func tryCall(t *testFleet, boxes *boxPicker, request *ospreymoorv1.GenerateRequest, alone bool, history *eventLog[attempt]) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	id, b := boxes.pick()
	begun := time.Now()
	text, err := t.complete(ctx, b, request)
	history.add(attempt{
		begun: begun, ended: time.Now(), failure: fmt.Sprint(err), box: id,
		prompt: request.GetPrompt(), repeatable: !request.GetNotRepeatable(), text: text,
		failed: err != nil, outcome: outcomeOf(err), startsAtAnswer: t.startsOf(request.GetPrompt()), alone: alone,
	})
	return err == nil
}

// probe repeatedly sends requests for each model to a box until ctx ends. It returns the refusals.
func probe(ctx context.Context, t *testFleet, b *testBox, models []string) (refused []string) {
	var history eventLog[string]
	var probes sync.WaitGroup
	begun := time.Now()
	for _, model := range models {
		probes.Go(func() {
			for n := 0; pause(ctx, 100*time.Millisecond); n++ {
				request := &ospreymoorv1.GenerateRequest{Model: model, Prompt: fmt.Sprintf("%s %d", model, n), MaxTokens: 2}
				if _, err := t.complete(context.Background(), b, request); err != nil {
					history.add(fmt.Sprintf("%s at %s: %s", model, time.Since(begun), err))
				}
			}
		})
	}
	probes.Wait()
	return history.all()
}
