package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"ospreymoor.example/ospreymoor/internal/gateway"
	"ospreymoor.example/ospreymoor/pkg/dispatch"
)

// sendRequest sends a request to a box. It returns its outcome, and the Retry-After of a refusal.
func (c *crashFleet) sendRequest(n int, id, body string, parts ...string) (outcome string, retryAfter time.Duration) {
	answer := httptest.NewRecorder()
	now := time.Now()
	request := &gateway.Request{
		ID: id, Arrived: now, Deadline: now.Add(10 * time.Second), Method: http.MethodPost, URI: "/x", Path: "/x", Host: "h",
		Header: http.Header{}, Body: []byte(body),
	}
	for _, part := range parts {
		request.Prompt = append(request.Prompt, dispatch.PromptPart{ID: part, Tokens: 100})
	}
	if c.nodes[n].Gateway.Serve(context.Background(), answer, request) != nil {
		return broken, 0
	}
	retryAfter, _ = time.ParseDuration(answer.Header().Get("Retry-After") + "s")
	switch {
	case answer.Code == http.StatusOK:
		return served, 0
	case strings.Contains(answer.Body.String(), "crash under"):
		return held, retryAfter
	}
	return refused, retryAfter
}

// Outcomes of requests.
const (
	served  = "served"
	broken  = "broken"
	held    = "held"
	refused = "refused"
)

// countOutcome counts the outcome of a caller's request.
func (c *crashFleet) countOutcome(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[name]++
}

// sendHarmless has callers send harmless requests to the boxes that the function boxes chooses, for a time and at
// a rate. A caller that is refused tries once more.
func (c *crashFleet) sendHarmless(perSecond int, span time.Duration, boxes func(*rand.Rand) int) {
	c.callers.Go(func() {
		random := rand.New(rand.NewPCG(1, 2))
		for n := range int(span.Seconds()) * perSecond {
			first, second := boxes(random), boxes(random)
			c.callers.Go(func() { c.sendWithRetry(fmt.Sprint("innocent ", n), first, second) })
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	})
}

// sendWithRetry sends a request and, if it is held or refused, sends it once more to a second box.
func (c *crashFleet) sendWithRetry(body string, first, second int) {
	outcome, wait := c.sendRequest(first, body+" first", body)
	if outcome == held || outcome == refused {
		time.Sleep(min(wait, 3*time.Second))
		outcome, _ = c.sendRequest(second, body+" second", body)
		outcome += " at its return"
	}
	c.countOutcome(outcome)
	if outcome == held+" at its return" {
		c.mu.Lock()
		c.crashesOfHeld = append(c.crashesOfHeld, c.crashesDuring[body])
		c.mu.Unlock()
	}
}

// sendRepeatedly has a caller send a request with the same body several times, each time under a new id and to a box
// that the function boxes chooses. Outcomes are counted only if the request does not crash upstreams.
func (c *crashFleet) sendRepeatedly(body string, times int, every time.Duration, boxes func(*rand.Rand) int) {
	random := rand.New(rand.NewPCG(3, 4))
	for n := range times {
		box := boxes(random)
		c.callers.Go(func() {
			outcome, _ := c.sendRequest(box, fmt.Sprint(body, " ", n, " ", time.Now().UnixNano()), body)
			if !strings.HasPrefix(body, crashingPrefix) {
				c.countOutcome(outcome)
			}
		})
		time.Sleep(every)
	}
}

// randomBox returns the number of a random box.
func (c *crashFleet) randomBox(random *rand.Rand) int { return random.IntN(c.boxes) }

// randomBoxIn returns a function that returns the number of a random box in a hall, or outside of it.
func (c *crashFleet) randomBoxIn(hall string, in bool) func(*rand.Rand) int {
	return func(random *rand.Rand) int {
		for {
			if n := c.randomBox(random); (c.hallOf(n) == hall) == in {
				return n
			}
		}
	}
}

// crashCount returns how many crashes of upstreams there were so far.
func (c *crashFleet) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// sentTooLate counts the requests that reached an upstream later than propagationTime after the third crash under the
// same request. By then every connected box must know of that crash.
func (c *crashFleet) sentTooLate() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for cause, crashes := range c.crashedUnder {
		if len(crashes) < 3 || cause == "" {
			continue
		}
		for _, at := range c.received[cause] {
			if at.After(crashes[2].Add(propagationTime)) {
				count++
			}
		}
	}
	return count
}
