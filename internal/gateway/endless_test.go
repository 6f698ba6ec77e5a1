package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// endlessBodies are the bodies of answers that go on without end.
type endlessBodies struct {
	// held is how much was read of those that are not closed, in bytes, and most the most that it was.
	held, most atomic.Int64
}

// body returns a body that begins with a text, and then has a part of filler each pause.
func (e *endlessBodies) body(begin string, part int, pause time.Duration) *endlessBody {
	return &endlessBody{all: e, begin: begin, filler: bytes.Repeat([]byte("x"), part), pause: pause, closed: make(chan struct{})}
}

type endlessBody struct {
	all    *endlessBodies
	begin  string
	filler []byte
	pause  time.Duration
	read   atomic.Int64
	close  sync.Once
	closed chan struct{}
}

func (b *endlessBody) Read(p []byte) (int, error) {
	select {
	case <-b.closed:
		return 0, errors.New("closed")
	case <-time.After(b.pause):
	}
	n := copy(p, b.filler)
	if b.begin != "" {
		n = copy(p, b.begin)
		b.begin = ""
	}
	b.read.Add(int64(n))
	if held := b.all.held.Add(int64(n)); held > b.all.most.Load() {
		b.all.most.Store(held)
	}
	return n, nil
}

func (b *endlessBody) Close() error {
	b.close.Do(func() {
		b.all.held.Add(-b.read.Load())
		close(b.closed)
	})
	return nil
}

// These specs guard against answers whose bodies go on until they are closed.
var _ = Describe("a body without end", func() {
	// serveAll serves 30 requests at once whose first answers are chosen, and returns their callers.
	serveAll := func(f *fixture, answer func() *Answer, request func(id string) *Request) []*caller {
		succeed := f.Upstreams.Send
		var mu sync.Mutex
		answered := map[string]bool{}
		f.Upstreams.Send = func(ctx context.Context, to *fleet.Endpoint, attempt Attempt) (*Answer, error) {
			mu.Lock()
			again := answered[attempt.Request.ID]
			answered[attempt.Request.ID] = true
			mu.Unlock()
			if again {
				return succeed(ctx, to, attempt)
			}
			return answer(), nil
		}
		callers := make([]*caller, 30)
		var serving sync.WaitGroup
		for n := range callers {
			serving.Go(func() { callers[n] = f.serve(context.Background(), request(fmt.Sprint("r", n))) })
		}
		serving.Wait()
		return callers
	}

	It("of an event is held within the memory for callers, over all streams", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			f.CallerMemory = NewMemoryBudget(80 << 20)
			var all endlessBodies
			serveAll(f, func() *Answer {
				return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: all.body("id: 1\ndata: ", 4<<10, time.Millisecond)}
			}, streamRequest)
			Expect(all.most.Load()).To(BeNumerically("<", 6<<20))
			Expect(all.held.Load()).To(BeZero())
			Expect(f.CallerMemory.Used()).To(BeZero())
			Expect(f.Metrics.GetOrCreateCounter(`ospreymoor_answers_too_long_total{part="event"}`).Get()).To(BeEquivalentTo(30))
		})
	})

	It("of a refusal does not hold up its request, whether it comes fast or slowly", func() {
		spectest.Bubble(func() {
			for _, pause := range []time.Duration{time.Microsecond, 30 * time.Millisecond} {
				f := newFixture(func(string, int) behavior { return succeeds }, 1)
				var all endlessBodies
				begun := time.Now()
				callers := serveAll(f, func() *Answer {
					return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{}, NotExecuted: true, Body: all.body("", 1<<10, pause)}
				}, func(id string) *Request {
					request := streamRequest(id)
					request.URI, request.Path, request.Model = "/once/x", "/once/x", ""
					return request
				})
				for _, c := range callers {
					Expect(c.Code).To(Equal(http.StatusOK))
				}
				Expect(time.Since(begun)).To(BeNumerically("<", 200*time.Millisecond))
				Expect(all.held.Load()).To(BeZero())
				Expect(f.Metrics.GetOrCreateCounter(`ospreymoor_answers_too_long_total{part="unused"}`).Get()).To(BeEquivalentTo(30))
			}
		})
	})

	It("that is passed on counts as a failure of its upstream once its caller's deadline ends it", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			var all endlessBodies
			var bodies []*endlessBody
			f.Upstreams.Send = func(ctx context.Context, _ *fleet.Endpoint, _ Attempt) (*Answer, error) {
				body := all.body("", 64<<10, 5*time.Millisecond)
				bodies = append(bodies, body)
				context.AfterFunc(ctx, func() { _ = body.Close() })
				return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: body}, nil
			}
			c := f.ask(context.Background(), "r", "/safe/x", "")
			Expect(c.aborted).To(BeTrue())
			Expect(bodies).To(HaveLen(1))
			Expect(f.Metrics.GetOrCreateCounter("ospreymoor_attempts_failed_total").Get()).To(BeEquivalentTo(1))
		})
	})
})
