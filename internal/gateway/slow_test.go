package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/fleet"
	"ospreymoor.example/ospreymoor/pkg/routes"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// slowFixture is a gateway behind its HTTP front end. streamForever gives it engines that send events until the
// caller is gone.
type slowFixture struct {
	*fixture
	network spectest.Network
	front   *Front
	// ended receives the time at which the request to an engine was cancelled.
	ended chan time.Time
}

// endlessReader returns events without end until ctx ends.
type endlessReader struct {
	ctx  context.Context
	text string
}

func (e endlessReader) Read(p []byte) (int, error) {
	if e.ctx.Err() != nil {
		return 0, e.ctx.Err()
	}
	return copy(p, e.text), nil
}

func withSlowFixture(memoryBytes int64, f func(*slowFixture)) {
	spectest.Bubble(func() {
		s := &slowFixture{fixture: newFixture(func(string, int) behavior { return succeeds }, 1), ended: make(chan time.Time, 1000)}
		s.CallerMemory = NewMemoryBudget(memoryBytes)
		// The timeout is long, so that no deadline ends a request before its caller does.
		table := *s.Table()
		list := append([]routes.Route{}, table.Routes...)
		for i := range list {
			list[i].Timeout = time.Hour
		}
		s.SetTable(routes.New(2, list, []routes.Service{{Name: "plain"}, {Name: "engines", Engines: table.Services["engines"].Engines}}, table.Limits))
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := s.ReadBody(w, r, time.Time{})
			if body.Status != 0 {
				w.WriteHeader(body.Status)
				return
			}
			defer body.Release()
			request := &Request{
				ID: r.URL.Path, Arrived: time.Now(), Method: r.Method, URI: r.RequestURI, Host: "h", Path: r.URL.Path,
				Header: r.Header, Body: body.Bytes, Model: r.Header.Get("Model"),
			}
			if s.Serve(r.Context(), w, request) != nil {
				panic(http.ErrAbortHandler)
			}
		})
		s.front = NewFront(handler, s.Gateway)
		listener := s.network.Listen("box:1")
		served := make(chan struct{})
		go func() {
			defer close(served)
			s.front.Serve(listener)
		}()
		defer func() {
			_ = s.front.Server.Close()
			<-served
			time.Sleep(time.Minute)
		}()
		f(s)
	})
}

// streamForever makes the engines answer every request with an endless stream of events.
func (s *slowFixture) streamForever() {
	s.Upstreams.Send = func(ctx context.Context, _ *fleet.Endpoint, _ Attempt) (*Answer, error) {
		context.AfterFunc(ctx, func() { s.ended <- time.Now() })
		text := fmt.Sprintf("id: 1\ndata: %s\n\n", strings.Repeat("x", 400))
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(endlessReader{ctx: ctx, text: text})}, nil
	}
}

func (s *slowFixture) dial() net.Conn {
	conn, err := s.network.Dial(context.Background(), "tcp", "box:1")
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// send sends the header of a request and the given part of its body.
func (s *slowFixture) send(path, model string, length int, body string) net.Conn {
	conn := s.dial()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nModel: %s\r\nContent-Length: %d\r\n\r\n%s", path, model, length, body)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

var _ = Describe("callers that read or send slowly, or not at all", func() {
	const memory = 184 << 20

	It("lose their connection after some seconds in which they read nothing, and the engine is free at once", func() {
		withSlowFixture(memory, func(s *slowFixture) {
			s.streamForever()
			const callers = 200
			begun := time.Now()
			for n := range callers {
				conn := s.send(fmt.Sprint("/stream/", n), "m", 0, "")
				defer func() { _ = conn.Close() }()
			}
			for range callers {
				Expect((<-s.ended).Sub(begun)).To(BeNumerically("~", writeStallTimeout, time.Second))
			}
			Expect(s.CallerMemory.Used()).To(BeZero())
		})
	})

	It("keep their connection while they read something, however little", func() {
		withSlowFixture(memory, func(s *slowFixture) {
			s.streamForever()
			conn := s.send("/stream/x", "m", 0, "")
			for range 20 {
				time.Sleep(writeStallTimeout * 3 / 4)
				_, err := conn.Read(make([]byte, 100))
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(s.ended).To(BeEmpty())
			_ = conn.Close()
		})
	})

	It("are refused when their body stalls, which uses no more memory than what arrived", func() {
		withSlowFixture(memory, func(s *slowFixture) {
			begun := time.Now()
			conn := s.send("/once/x", "", 50_000, strings.Repeat("x", 100))
			defer func() { _ = conn.Close() }()
			time.Sleep(time.Second)
			Expect(s.CallerMemory.Used()).To(Equal(int64(100)))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusRequestTimeout))
			Expect(time.Since(begun)).To(BeNumerically("~", bodyStallTimeout, 100*time.Millisecond))
			Expect(s.CallerMemory.Used()).To(BeZero())
			Expect(s.upstreams.sentTo).To(BeEmpty())
		})
	})

	It("are refused at once and never run if the memory budget is used up, while others are served", func() {
		withSlowFixture(1, func(s *slowFixture) { // The smallest budget: one buffered answer.
			const held = 600_000
			slow := s.send("/once/slow", "", 2*held, strings.Repeat("x", held))
			defer func() { _ = slow.Close() }()
			time.Sleep(100 * time.Millisecond)
			begun := time.Now()
			conn := s.dial()
			go func() {
				_, _ = fmt.Fprintf(conn, "POST /once/big HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", held, strings.Repeat("x", held))
			}()
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(time.Since(begun)).To(BeNumerically("<", 100*time.Millisecond))
			_ = conn.Close()
			small := s.send("/once/small", "", 3, "abc")
			defer func() { _ = small.Close() }()
			answer, err = http.ReadResponse(bufio.NewReader(small), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
			Expect(s.upstreams.runs).To(Equal(map[string]int{"/once/small": 1}))
		})
	})
})

var _ = Describe("the memory budget for callers", func() {
	It("counts buffered answers until their end, and has answers that exceed it passed on at once", func() {
		spectest.Bubble(func() {
			f := newFixture(func(string, int) behavior { return succeeds }, 1)
			f.CallerMemory = NewMemoryBudget(1)
			Expect(f.CallerMemory.Reserve(maxBufferedAnswer)).To(BeTrue())
			Expect(f.CallerMemory.Reserve(1)).To(BeFalse())
			got := f.ask(context.Background(), "r", "/safe/x", "")
			Expect(got.Code).To(Equal(http.StatusOK))
			Expect(got.Body.String()).To(Equal(plainBody))
			Expect(f.CallerMemory.Used()).To(Equal(int64(maxBufferedAnswer)))
		})
	})

	It("leaves a small box the memory that it needs for itself", func() {
		const memory = 184 << 20
		h := NewMemoryBudget(memory)
		Expect(processReserveBytes + 2*h.limit).To(BeNumerically("<", memory*3/4))
		Expect(NewMemoryBudget(0)).To(BeNil())
	})
})
