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
)

// ask sends a request to a box and returns how it ended, as outcomes name it, and a refusal's Retry-After.
func (c *crashFleet) ask(n int, id, body string) (outcome string, retryAfter time.Duration) {
	answer := httptest.NewRecorder()
	now := time.Now()
	request := &gateway.Request{
		ID: id, Arrived: now, Deadline: now.Add(10 * time.Second), Method: http.MethodPost, URI: "/x", Path: "/x", Host: "h",
		Header: http.Header{}, Body: []byte(body),
	}
	if c.nodes[n].Gateway.Serve(context.Background(), answer, request) != nil {
		return broken, 0
	}
	retryAfter, _ = time.ParseDuration(answer.Header().Get("Retry-After") + "s")
	switch {
	case answer.Code == http.StatusOK:
		return served, 0
	case strings.Contains(answer.Body.String(), "crash under it"):
		return held, retryAfter
	}
	return refused, retryAfter
}

// The outcomes of requests.
const (
	served  = "served"
	broken  = "broken"
	held    = "held"
	refused = "refused"
)

// outcome counts how a caller's request ended.
func (c *crashFleet) outcome(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[name]++
}

// askInnocents has callers ask for other things at any box for a time, that many a second. Each comes again once.
func (c *crashFleet) askInnocents(perSecond int, span time.Duration, boxes func(*rand.Rand) int) {
	c.callers.Go(func() {
		random := rand.New(rand.NewPCG(1, 2))
		for n := range int(span.Seconds()) * perSecond {
			first, second := boxes(random), boxes(random)
			c.callers.Go(func() { c.askTwice(fmt.Sprint("innocent ", n), first, second) })
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	})
}

func (c *crashFleet) askTwice(body string, first, second int) {
	outcome, wait := c.ask(first, body+" first", body)
	if outcome == held || outcome == refused {
		time.Sleep(min(wait, 3*time.Second))
		outcome, _ = c.ask(second, body+" second", body)
		outcome += " at its return"
	}
	c.outcome(outcome)
	if outcome == held+" at its return" {
		c.mu.Lock()
		c.heldAfter = append(c.heldAfter, c.under[body])
		c.mu.Unlock()
	}
}

// askAgain has a caller send a request at any box, again and again, as one that crashes upstreams.
func (c *crashFleet) askAgain(body string, times int, every time.Duration, boxes func(*rand.Rand) int) {
	random := rand.New(rand.NewPCG(3, 4))
	for n := range times {
		box := boxes(random)
		c.callers.Go(func() {
			outcome, _ := c.ask(box, fmt.Sprint(body, " ", n, " ", time.Now().UnixNano()), body)
			if !strings.HasPrefix(body, guilty) {
				c.outcome(outcome)
			}
		})
		time.Sleep(every)
	}
}

// anyBox returns a box at random.
func (c *crashFleet) anyBox(random *rand.Rand) int { return random.IntN(c.boxes) }

// crashCount is how many upstreams crashed so far.
func (c *crashFleet) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// sentTooLate counts how often a request reached upstreams when every box in touch must have known of the third that crashed
// under it, over all requests.
func (c *crashFleet) sentTooLate() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for body, crashes := range c.crashedUnder {
		if len(crashes) < 3 || body == "" {
			continue
		}
		for _, at := range c.sent[body] {
			if at.After(crashes[2].Add(touchTime)) {
				count++
			}
		}
	}
	return count
}
